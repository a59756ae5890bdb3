#ifndef SESAMEPADDLE_SRC_INGRESS_GOSSIP_MESSAGE_H
#define SESAMEPADDLE_SRC_INGRESS_GOSSIP_MESSAGE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace sesamepaddle {

/** A VM that the sender knows. */
struct gossip_vm {
  std::string Name;
  std::string Address;
  MSGPACK_DEFINE(Name, Address)
};

/** Answers of both versions on one route. */
struct gossip_counts {
  std::string Route;
  std::uint32_t NewGood = 0;
  std::uint32_t NewBad = 0;
  std::uint32_t OldGood = 0;
  std::uint32_t OldBad = 0;
  MSGPACK_DEFINE(Route, NewGood, NewBad, OldGood, OldBad)
};

/** What the sender saw of a rollout. */
struct gossip_rollout {
  std::string Service;
  std::string To;
  bool IsFaulty = false;
  bool IsCompleted = false;  ///< recorded
  bool IsRolledBack = false; ///< recorded
  std::vector<gossip_counts> Counts;
  MSGPACK_DEFINE(Service, To, IsFaulty, IsCompleted, IsRolledBack, Counts)
};

/** A request that crashed an endpoint. */
struct gossip_crash {
  std::string Fingerprint;
  std::string Endpoint;
  MSGPACK_DEFINE(Fingerprint, Endpoint)
};

/** What the sender has seen of an endpoint that answers badly. The endpoint by
    its hash, answers in hundredths: whole numbers take the fewest bytes. */
struct gossip_health {
  std::uint64_t Endpoint = 0;
  std::uint32_t Good = 0;
  std::uint32_t Bad = 0;
  MSGPACK_DEFINE(Endpoint, Good, Bad)
};

/** Requests of the sender that are at an endpoint. */
struct gossip_load {
  std::uint64_t Endpoint = 0;
  std::uint32_t InFlight = 0;
  MSGPACK_DEFINE(Endpoint, InFlight)
};

/** Objects that an endpoint has answered for, all by their hashes. */
struct gossip_known_objects {
  std::uint64_t Endpoint = 0;
  std::vector<std::uint64_t> Objects;
  MSGPACK_DEFINE(Endpoint, Objects)
};

/** What a VM tells each other VM, one datagram. */
struct gossip_message {
  std::uint8_t Format = 4;
  std::string Name;
  std::uint64_t Incarnation = 0;
  std::string Region;
  std::string FailureDomain;
  std::string CallerAddress;
  std::string GossipAddress;
  std::string PeerHttpAddress;
  bool IsReady = false;
  bool IsStoreLost = false;
  bool WantsVms = false; ///< asks for the VMs that the receiver knows
  /** Hundredths of a request a second, by the hash of the workspace's name:
      with names these were three quarters of a large fleet's messages. */
  std::map<std::uint32_t, std::uint32_t> Demand;
  std::vector<gossip_rollout> Rollouts;
  std::vector<gossip_crash> Crashes;
  std::vector<gossip_health> Health;
  std::vector<gossip_load> Loads;
  std::vector<gossip_known_objects> Known;
  std::vector<gossip_vm> Vms;
  MSGPACK_DEFINE(Format, Name, Incarnation, Region, FailureDomain,
                 CallerAddress, GossipAddress, PeerHttpAddress, IsReady,
                 IsStoreLost, WantsVms, Demand, Rollouts, Crashes, Health,
                 Loads, Known, Vms)
};

/** Asks another VM for tokens of a workspace's limit, or gives them. */
struct token_message {
  std::uint8_t Format = 2;
  bool IsGrant = false;
  std::uint64_t TokenRequestId = 0; ///< names the question that is answered
  std::string ReplyAddress;
  std::string Workspace;
  float Tokens = 0;
  MSGPACK_DEFINE(Format, IsGrant, TokenRequestId, ReplyAddress, Workspace,
                 Tokens)
};

/** @returns the datagram for @p Message. */
std::string encodeTokens(const token_message &Message);

/** @returns the message in @p Datagram, or nothing when it is none. */
std::optional<token_message> decodeTokens(std::string_view Datagram);

/** @returns the datagram for @p Message. */
std::string encodeGossip(const gossip_message &Message);

/** @returns the message in @p Datagram, or nothing when it is none. */
std::optional<gossip_message> decodeGossip(std::string_view Datagram);

} // namespace sesamepaddle

#endif
