#ifndef SESAMEPADDLE_LAB_MEASURE_FIGURE_TABLE_H
#define SESAMEPADDLE_LAB_MEASURE_FIGURE_TABLE_H

#include <string_view>

namespace sesamepaddle {

/** Whether a target is an upper or a lower bound of its figure. None means that
    the row has no target. */
enum class target_bound { AtMost, AtLeast, None };

/** Prints a table to standard output with a figure, a target and a baseline per
    row, and records whether all targets are met. */
class figure_table {
public:
  /** Prints the heading. */
  explicit figure_table(std::string_view Title);

  /** Prints a row. @p Target is ignored if @p Side is None. */
  void add(std::string_view Name, double Figure, target_bound Side,
           double Target, std::string_view Baseline);

  /** @returns true if no row has missed its target. */
  bool areTargetsMet() const { return AreMet; }

private:
  bool AreMet = true;
};

} // namespace sesamepaddle

#endif
