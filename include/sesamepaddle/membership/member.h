#ifndef SESAMEPADDLE_MEMBERSHIP_MEMBER_H
#define SESAMEPADDLE_MEMBERSHIP_MEMBER_H

#include "sesamepaddle/core/identifiers.h"

#include <cstdint>
#include <string>

namespace sesamepaddle {

/** The location of a VM and the addresses at which it is reached. */
struct member_address {
  vm_name Name;
  region_name Region;
  failure_domain_name FailureDomain;
  std::string CallerAddress; ///< host and port for callers
  std::string PeerAddress;   ///< host and port for other VMs

  friend bool operator==(const member_address &,
                         const member_address &) = default;
};

/** The state of a VM as seen by another VM. A VM that stops sending heartbeats
    is only suspected; Leaving needs an announcement from the VM itself or an
    entry in the platform's list. The numbers are part of the protocol. */
enum class member_state : std::uint8_t {
  Live,      ///< its heartbeat counter rose recently
  Suspected, ///< no recent heartbeat, or its failure domain is silent
  Leaving,   ///< announced its departure; final for the incarnation
  Unheard,   ///< in the platform's list, not known from messages
};

/** @returns the stable name of @p State, such as "live", for logs and status
    output. */
std::string_view memberStateName(member_state State);

/** One VM as shown by membership_protocol::view(). */
struct member {
  member_address Address;
  incarnation Incarnation{}; ///< 0 for a VM that is Unheard
  member_state State = member_state::Unheard;
};

} // namespace sesamepaddle

#endif
