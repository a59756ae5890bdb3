#ifndef SESAMEPADDLE_LAB_MEASURE_FIGURE_TABLE_H
#define SESAMEPADDLE_LAB_MEASURE_FIGURE_TABLE_H

#include <string_view>

namespace sesamepaddle {

/** On which side of its target a figure has to be. */
enum class target_bound { AtMost, AtLeast, None };

/** A table with figure, target and baseline by row. */
class figure_table {
public:
  /** Prints the heading. */
  explicit figure_table(std::string_view Title);

  /** Prints a row. */
  void add(std::string_view Name, double Figure, target_bound Side,
           double Target, std::string_view Baseline);

  /** @returns true when no target was missed. */
  bool areTargetsMet() const { return AreMet; }

private:
  bool AreMet = true;
};

} // namespace sesamepaddle

#endif
