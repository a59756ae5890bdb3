#ifndef SESAMEPADDLE_MEMBERSHIP_MEMBERSHIP_MESSAGE_H
#define SESAMEPADDLE_MEMBERSHIP_MEMBERSHIP_MESSAGE_H

#include "absl/status/statusor.h"
#include "sesamepaddle/membership/member.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** The state of one incarnation as of a heartbeat of its own. */
struct member_entry {
  incarnation Incarnation{};
  std::uint64_t Heartbeat = 0;
  member_state State = member_state::Live;

  friend bool operator==(const member_entry &, const member_entry &) = default;
};

/** An incarnation with its address, for those who don't know it. */
struct member_description {
  incarnation Incarnation{};
  member_address Address;

  friend bool operator==(const member_description &,
                         const member_description &) = default;
};

/** What a VM knows of a whole failure domain. */
struct domain_summary {
  failure_domain_name FailureDomain;
  std::uint64_t LiveDigest = 0;      ///< of the incarnations that are live
  std::uint64_t AgeMilliseconds = 0; ///< since the domain was last heard

  friend bool operator==(const domain_summary &,
                         const domain_summary &) = default;
};

/** A message between two VMs; every part may be empty. */
struct membership_message {
  std::string SenderAddress; ///< the sender's peer address
  std::vector<member_entry> Entries;
  std::vector<domain_summary> Summaries;
  std::vector<member_description> Descriptions;
  std::vector<incarnation>
      DescriptionRequests; ///< incarnations to be described
  /** Domains of which the sender asks for all entries. */
  std::vector<failure_domain_name> DomainEntryRequests;

  friend bool operator==(const membership_message &,
                         const membership_message &) = default;

  /** @returns the message as msgpack. */
  std::string serialize() const;
};

/** @returns the message in @p Payload, or
    membership_failure::MalformedMessage. */
absl::StatusOr<membership_message>
parseMembershipMessage(std::string_view Payload);

} // namespace sesamepaddle

#endif
