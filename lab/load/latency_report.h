#ifndef SESAMEPADDLE_LAB_LOAD_LATENCY_REPORT_H
#define SESAMEPADDLE_LAB_LOAD_LATENCY_REPORT_H

#include <boost/histogram.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>

namespace sesamepaddle {

/** Latency histograms per sender, such as a workspace, and per kind of answer,
    such as "200" or the name of a failure. */
class latency_report {
public:
  /** Counts one answer of kind @p Answer. */
  void add(const std::string &Sender, const std::string &Answer,
           std::chrono::nanoseconds Latency);

  /** @returns the number of answers of that kind, over all senders. */
  std::uint64_t count(const std::string &Answer) const;

  /** @returns the number of all answers. */
  std::uint64_t count() const;

  /** Prints one row per sender and kind of answer.
      @param SenderTitle  heading of the first column */
  void printTable(std::ostream &Stream,
                  const std::string &SenderTitle = "workspace") const;

  /** Prints the same rows as CSV, with a header line. */
  void printCsv(std::ostream &Stream) const;

private:
  using axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using histogram =
      boost::histogram::histogram<std::tuple<axis>,
                                  boost::histogram::dense_storage<double>>;

  /** Latencies of one sender and one kind of answer. */
  struct series {
    series();
    /** @returns the upper edge, in ms, of the bin that contains the quantile,
        but at most the largest latency. */
    double quantile(double Fraction) const;

    histogram Histogram;
    std::uint64_t Count = 0;
    double LargestMilliseconds = 0;
  };

  std::map<std::pair<std::string, std::string>, series> Series;
};

} // namespace sesamepaddle

#endif
