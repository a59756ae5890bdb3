#ifndef SESAMEPADDLE_LAB_MEASURE_COST_TABLE_H
#define SESAMEPADDLE_LAB_MEASURE_COST_TABLE_H

#include <cstddef>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** The cost of one operation at one size. */
struct cost_point {
  double Size = 0;
  double Nanoseconds = 0; ///< processor time of one operation
  double Bytes = 0;       ///< heap used by the state; 0 if it has none
};

/** The costs of one operation at several sizes. */
struct cost_series {
  std::string_view Operation;
  std::string_view SizeUnit; ///< for example "workspaces"
  std::vector<cost_point> Points;
};

/** A straight line through the points of a series. */
struct cost_slope {
  double AtZero = 0;
  double PerUnit = 0;
};

/** @returns the least-squares line through the values that @p Value takes. */
cost_slope fitSlope(std::span<const cost_point> Points,
                    double cost_point::*Value);

/** Prints all points and the slope of each series. */
void printCosts(std::span<const cost_series> All);

/** Calls @p Operation @p Calls times and repeats that five times.
    @returns the processor time of one call in ns in the fastest repetition,
    because other processes can only slow a repetition down. */
double nanosecondsPerCall(std::size_t Calls,
                          const std::function<void()> &Operation);

/** @returns the processor time that the calling thread has used, in ns. */
double threadNanoseconds();

/** @returns the bytes of the heap that are in use. */
std::size_t heapBytes();

/** How many calls a measurement makes. Expensive operations make a fixed
    fraction of them. */
struct cost_effort {
  std::size_t Calls = 20'000;
};

/** RCU reads and metrics. */
std::vector<cost_series> measureCoreCosts(const cost_effort &Effort);
/** Parsing and applying documents. */
std::vector<cost_series> measureDocumentCosts(const cost_effort &Effort);
/** Key lookups and route matches. */
std::vector<cost_series> measureRequestCosts(const cost_effort &Effort);

} // namespace sesamepaddle

#endif
