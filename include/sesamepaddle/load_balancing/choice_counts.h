#ifndef SESAMEPADDLE_LOAD_BALANCING_CHOICE_COUNTS_H
#define SESAMEPADDLE_LOAD_BALANCING_CHOICE_COUNTS_H

#include "sesamepaddle/load_balancing/endpoint_choice.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace sesamepaddle {

/** Counts the requests of this VM by why their endpoints were chosen and by
    where these are. */
class choice_counts {
public:
  void add(choice_reason Reason, endpoint_distance Distance) {
    ++Reasons.at(static_cast<std::size_t>(Reason));
    ++Distances.at(static_cast<std::size_t>(Distance));
  }

  std::uint64_t of(choice_reason Reason) const {
    return Reasons.at(static_cast<std::size_t>(Reason));
  }
  std::uint64_t of(endpoint_distance Distance) const {
    return Distances.at(static_cast<std::size_t>(Distance));
  }

  /** @returns the counts in the Prometheus text exposition format. */
  std::string prometheusText() const;

private:
  std::array<std::uint64_t, 7> Reasons{};   ///< by choice_reason
  std::array<std::uint64_t, 3> Distances{}; ///< by endpoint_distance
};

} // namespace sesamepaddle

#endif
