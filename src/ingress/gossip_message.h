#ifndef SESAMEPADDLE_SRC_INGRESS_GOSSIP_MESSAGE_H
#define SESAMEPADDLE_SRC_INGRESS_GOSSIP_MESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace sesamepaddle {

/** Name and gossip address of a VM that the sender knows. */
struct gossip_vm {
  std::string Name;
  std::string Address;
  MSGPACK_DEFINE(Name, Address)
};

/** Counts of good and bad answers of the new and the old version on one route.
 */
struct gossip_counts {
  std::string Route;
  std::uint32_t NewGood = 0;
  std::uint32_t NewBad = 0;
  std::uint32_t OldGood = 0;
  std::uint32_t OldBad = 0;
  std::uint32_t NewErrors = 0;
  std::uint32_t OldErrors = 0;
  MSGPACK_DEFINE(Route, NewGood, NewBad, OldGood, OldBad, NewErrors, OldErrors)
};

/** The sender's report on a rollout. */
struct gossip_rollout {
  std::string Service;
  std::string To; ///< the new version
  bool IsFaulty = false;
  bool IsCompleted = false;  ///< this outcome is recorded
  bool IsRolledBack = false; ///< this outcome is recorded
  std::vector<gossip_counts> Counts;
  // Of the trial; absent in older versions.
  std::uint32_t TrialGood = 0;
  std::uint32_t TrialBad = 0;
  std::uint32_t TrialOverdue = 0;
  MSGPACK_DEFINE(Service, To, IsFaulty, IsCompleted, IsRolledBack, Counts,
                 TrialGood, TrialBad, TrialOverdue)
};

/** A request that crashed an endpoint. */
struct gossip_crash {
  std::string Fingerprint;
  std::string Endpoint;
  std::uint64_t AgeMs = 0; ///< time since the crash; absent in older versions
  MSGPACK_DEFINE(Fingerprint, Endpoint, AgeMs)
};

/** The answers that the sender received from an endpoint with bad answers. The
    endpoint is given by its hash, and answers are counted in hundredths, as
    integers have the shortest encoding. */
struct gossip_health {
  std::uint64_t Endpoint = 0;
  std::uint32_t Good = 0;
  std::uint32_t Bad = 0;
  MSGPACK_DEFINE(Endpoint, Good, Bad)
};

/** Number of requests that the sender has in flight at an endpoint. */
struct gossip_load {
  std::uint64_t Endpoint = 0;
  std::uint32_t InFlight = 0;
  MSGPACK_DEFINE(Endpoint, InFlight)
};

/** Objects for which an endpoint has answered requests, all by their hashes. */
struct gossip_known_objects {
  std::uint64_t Endpoint = 0;
  std::vector<std::uint64_t> Objects;
  MSGPACK_DEFINE(Endpoint, Objects)
};

/** The state that a VM sends to the other VMs, in one datagram. */
struct gossip_message {
  std::uint8_t Format = 7;
  std::string Name;
  std::uint64_t Incarnation = 0;
  std::string Region;
  std::string FailureDomain;
  std::string CallerAddress;
  std::string GossipAddress;
  std::string PeerHttpAddress;
  bool IsReady = false;
  bool IsBusy = false; ///< short of processor time
  bool IsStoreLost = false;
  bool WantsReply = false;    ///< asks the receiver for a message
  std::uint32_t KnownVms = 0; ///< number of other VMs that the sender knows
  std::uint64_t UptimeMs = 0; ///< of the sender's process
  std::vector<gossip_rollout> Rollouts;
  std::vector<gossip_crash> Crashes;
  std::vector<gossip_health> Health;
  std::vector<gossip_load> Loads;
  std::vector<gossip_known_objects> Known;
  std::vector<gossip_vm> Vms;
  std::uint32_t Cores = 0;    ///< hundredths of a core; 0: unknown
  std::uint64_t Sequence = 0; ///< rises with each message of a process
  bool MustForward = false;   ///< to the VMs of the receiver's failure domain
  MSGPACK_DEFINE(Format, Name, Incarnation, Region, FailureDomain,
                 CallerAddress, GossipAddress, PeerHttpAddress, IsReady, IsBusy,
                 IsStoreLost, WantsReply, KnownVms, UptimeMs, Rollouts, Crashes,
                 Health, Loads, Known, Vms, Cores, Sequence, MustForward)
};

/** Asks the home of a workspace's limit for tokens, or is its answer. */
struct token_message {
  std::uint8_t Format = 3;
  bool IsGrant = false;
  std::uint64_t AskId = 0; ///< copied from the ask into the answer
  std::string Sender;      ///< name of the VM
  std::string ReplyAddress;
  std::string Workspace;
  float Tokens = 0; ///< wanted or granted
  // Of an answer: @see quota_grant
  std::uint32_t RefuseForMs = 0;
  bool IsHome = false;
  MSGPACK_DEFINE(Format, IsGrant, AskId, Sender, ReplyAddress, Workspace,
                 Tokens, RefuseForMs, IsHome)
};

/** @returns the datagram for @p Message. */
std::string encodeTokens(const token_message &Message);

/** @returns the message in @p Datagram, or nothing when it is malformed or of
    another format. */
std::optional<token_message> decodeTokens(std::string_view Datagram);

/** @returns the datagram for @p Message. */
std::string encodeGossip(const gossip_message &Message);

/** @returns the message in @p Datagram, or nothing when it is malformed or of
    another format. */
std::optional<gossip_message> decodeGossip(std::string_view Datagram);

} // namespace sesamepaddle

#endif
