#ifndef SESAMEPADDLE_LOAD_BALANCING_LOAD_REPORT_H
#define SESAMEPADDLE_LOAD_BALANCING_LOAD_REPORT_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** The load that an endpoint reports in a header of its answers. */
struct reported_load {
  unsigned Running = 0; ///< requests
  unsigned Waiting = 0; ///< requests queued for a slot
  unsigned Slots = 0;   ///< requests that it can run at the same time
  /** How long work takes on the endpoint's machine at that moment, relative to
      usual: 1 as usual, 2 twice as long. Endpoints share machines. */
  std::optional<double> Pace;
};

/** What a load header contained. */
enum class load_report_kind : std::uint8_t {
  ThreeFigures, ///< running, waiting, slots
  FourFigures,  ///< and pace
  MoreFigures,  ///< and unknown ones, which are ignored
  PaceIgnored,  ///< the fourth figure is out of range; the others are used
  Invalid,      ///< nothing of it is used
};

/** A load header, decoded. */
struct load_report {
  load_report_kind Kind = load_report_kind::Invalid;
  std::optional<reported_load> Load; ///< absent if Invalid
};

/** Decodes "RUNNING,WAITING,SLOTS[,PACE[,...]]": whole numbers of requests, and
    the pace in percent of usual. */
load_report decodeLoadReport(std::string_view Text);

/** Counts load headers by kind. */
class load_report_counts {
public:
  void add(load_report_kind Kind) {
    ++Counts.at(static_cast<std::size_t>(Kind));
  }

  std::uint64_t of(load_report_kind Kind) const {
    return Counts.at(static_cast<std::size_t>(Kind));
  }

  /** @returns the counts in the Prometheus text exposition format. */
  std::string prometheusText() const;

private:
  std::array<std::uint64_t, 5> Counts{}; ///< by load_report_kind
};

} // namespace sesamepaddle

#endif
