#ifndef SESAMEPADDLE_STEERING_LOOKUP_H
#define SESAMEPADDLE_STEERING_LOOKUP_H

#include "sesamepaddle/core/identifiers.h"

#include <chrono>
#include <string>
#include <vector>

namespace sesamepaddle {

/** An entry VM that callers can be directed to. */
struct entry_candidate {
  vm_name Name;
  region_name Region;
  failure_domain_name FailureDomain;
  std::string CallerAddress; ///< where callers reach it
  std::string PeerAddress;   ///< where other VMs reach it
  bool IsLeaving = false;

  friend bool operator==(const entry_candidate &,
                         const entry_candidate &) = default;
};

/** One entry VM of a look-up's answer. */
struct entry_choice {
  std::string Address;
  failure_domain_name FailureDomain;
  unsigned Weight = 0; ///< relative to the other choices
};

/** The answer to a look-up. */
struct lookup_answer {
  std::vector<entry_choice> Choices;
  std::vector<entry_choice> Fallbacks; ///< in the order to try them
  std::chrono::milliseconds TimeToLive{0};
};

} // namespace sesamepaddle

#endif
