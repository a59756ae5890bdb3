#ifndef SESAMEPADDLE_MEMBERSHIP_MEMBERSHIP_MESSAGE_H
#define SESAMEPADDLE_MEMBERSHIP_MEMBERSHIP_MESSAGE_H

#include "absl/status/statusor.h"
#include "sesamepaddle/membership/member.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** The state of one incarnation at a value of its heartbeat counter. */
struct member_entry {
  incarnation Incarnation{};
  std::uint64_t Heartbeat = 0; ///< counter that only the VM itself raises
  member_state State = member_state::Live;

  friend bool operator==(const member_entry &, const member_entry &) = default;
};

/** An incarnation with its address, sent to VMs that don't know it yet. */
struct member_description {
  incarnation Incarnation{};
  member_address Address;

  friend bool operator==(const member_description &,
                         const member_description &) = default;
};

/** A summary of a failure domain. Its entries are exchanged only if the digests
    of sender and receiver differ. */
struct domain_summary {
  failure_domain_name FailureDomain;
  std::uint64_t LiveDigest = 0;      ///< member_table::liveDigest()
  std::uint64_t AgeMilliseconds = 0; ///< since the last message from the domain

  friend bool operator==(const domain_summary &,
                         const domain_summary &) = default;
};

/** A message between two VMs; every list may be empty. */
struct membership_message {
  std::string SenderAddress; ///< the sender's peer address
  std::vector<member_entry> Entries;
  std::vector<domain_summary> Summaries;
  std::vector<member_description> Descriptions;
  std::vector<incarnation> DescriptionRequests; ///< incarnations to describe
  /** Failure domains whose entries the sender requests. */
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
