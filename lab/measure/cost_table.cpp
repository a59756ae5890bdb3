#include "measure/cost_table.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <limits>
#include <malloc.h>

namespace sesamepaddle {

namespace {

// measureApplying() in costs_documents.cpp prepares inputs for five
// repetitions.
constexpr int Repeats = 5;

} // namespace

cost_slope fitSlope(std::span<const cost_point> Points,
                    double cost_point::*Value) {
  const auto Count = static_cast<double>(Points.size());
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
  for (const auto &Point : Points) {
    SumX += Point.Size;
    SumY += Point.*Value;
    SumXX += Point.Size * Point.Size;
    SumXY += Point.Size * Point.*Value;
  }
  const double Spread = Count * SumXX - SumX * SumX;
  if (Spread <= 0)
    return {Count > 0 ? SumY / Count : 0, 0};
  const double PerUnit = (Count * SumXY - SumX * SumY) / Spread;
  return {(SumY - PerUnit * SumX) / Count, PerUnit};
}

void printCosts(std::span<const cost_series> All) {
  std::printf("%-26s %12s %-20s %12s %14s\n", "operation", "size", "of", "ns",
              "bytes");
  for (const auto &Series : All) {
    const std::string_view Name = Series.Operation;
    const std::string_view Unit = Series.SizeUnit;
    for (const auto &Point : Series.Points)
      std::printf("%-26.*s %12.0f %-20.*s %12.1f %14.0f\n",
                  static_cast<int>(Name.size()), Name.data(), Point.Size,
                  static_cast<int>(Unit.size()), Unit.data(), Point.Nanoseconds,
                  Point.Bytes);
    const auto Time = fitSlope(Series.Points, &cost_point::Nanoseconds);
    const auto Bytes = fitSlope(Series.Points, &cost_point::Bytes);
    std::printf("%-26.*s %12s %-20.*s %12.4g %14.4g\n",
                static_cast<int>(Name.size()), Name.data(), "slope per",
                static_cast<int>(Unit.size()), Unit.data(), Time.PerUnit,
                Bytes.PerUnit);
  }
}

double nanosecondsPerCall(std::size_t Calls,
                          const std::function<void()> &Operation) {
  double Least = std::numeric_limits<double>::max();
  for (int Repeat = 0; Repeat < Repeats; ++Repeat) {
    const double Start = threadNanoseconds();
    for (std::size_t Call = 0; Call < Calls; ++Call)
      Operation();
    Least = std::min(Least, threadNanoseconds() - Start);
  }
  return Least / static_cast<double>(std::max<std::size_t>(Calls, 1));
}

double threadNanoseconds() {
  timespec Time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e9 +
         static_cast<double>(Time.tv_nsec);
}

std::size_t heapBytes() {
  const auto Info = ::mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

} // namespace sesamepaddle
