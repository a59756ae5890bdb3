#ifndef SESAMEPADDLE_INGRESS_TRAFFIC_COUNTER_H
#define SESAMEPADDLE_INGRESS_TRAFFIC_COUNTER_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace sesamepaddle {

/** What the bytes that a VM exchanges are for. */
enum class traffic_kind : std::uint8_t {
  Gossip,          ///< state of VMs
  Tokens,          ///< asks for tokens of limits, and their answers
  Rows,            ///< rows of the store that another VM has read
  EndpointRequest, ///< requests to endpoints
  EndpointAnswer,  ///< their answers
};

/** How far the bytes travel. */
enum class traffic_distance : std::uint8_t {
  SameFailureDomain,
  SameRegion, ///< another failure domain of the region
  OtherRegion,
  Unknown, ///< the other side's place is not known yet
};

/** Counts the bytes that a VM sends, and those of the answers to what it sends,
    by kind and distance: each byte between two VMs is counted by one of them.
    Without the headers of TCP, UDP and IP. */
class traffic_counter {
public:
  void add(traffic_kind Kind, traffic_distance Distance, std::size_t Bytes);

  /** @returns the counters in the Prometheus text exposition format. */
  std::string prometheusText() const;

private:
  static constexpr std::size_t Kinds = 5;
  static constexpr std::size_t Distances = 4;
  struct total {
    std::uint64_t Bytes = 0;
    std::uint64_t Messages = 0;
  };
  std::array<std::array<total, Distances>, Kinds> Totals{};
};

} // namespace sesamepaddle

#endif
