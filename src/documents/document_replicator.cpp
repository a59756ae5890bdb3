#include "sesamepaddle/documents/document_replicator.h"

#include "sesamepaddle/documents/failures.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// The age in a message whose sender knows of no answer of the platform.
constexpr std::uint64_t UnknownAge = std::numeric_limits<std::uint64_t>::max();

// A reply adds no further documents beyond this size, so that it fits into a
// frame between VMs (1 MiB by default). A VM that lacks many documents, such as
// a new one, gets the rest after later heartbeats.
constexpr std::size_t ReplyDocumentBytes = 512 * 1024;

// One year. Longer ages, such as UnknownAge, are ignored: arithmetic with them
// could overflow.
constexpr std::uint64_t MaxAgeMilliseconds = 31'536'000'000;

constexpr std::uint64_t FnvOffsetBasis = 0xcbf29ce484222325U;
constexpr std::uint64_t FnvPrime = 0x100000001b3U;

/** Continues the FNV-1a hash @p Hash over @p Bytes. VMs compare the result, so
    it must be the same on all of them. */
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Hash) {
  for (const char Byte : Bytes)
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * FnvPrime;
  return Hash;
}

} // namespace

std::string_view freshnessName(freshness State) {
  switch (State) {
  case freshness::Fresh:
    return "fresh";
  case freshness::PlatformOut:
    return "platform-out";
  case freshness::CutOff:
    return "cut-off";
  }
  return "unknown";
}

document_replicator::document_replicator(std::string Self,
                                         replication_options Options,
                                         replication_hooks Hooks,
                                         std::uint64_t Seed)
    : Self(std::move(Self)), Options(Options), Hooks(std::move(Hooks)),
      Random(Seed), TokenBase(Random() >> 1) {}

void document_replicator::setPeers(replication_peers Next) {
  Peers = std::move(Next);
  std::ranges::sort(Peers.OwnDomain);
}

// An answer with a lower revision than an earlier one is stale. Its rows are
// harmless, because only newer documents are applied, but it does not prove
// that this VM is fresh. The next read lists all rows, in case the table itself
// was restored to an older state.
void document_replicator::takeListing(std::span<const std::string> Rows,
                                      std::uint64_t Revision, time_point Sent,
                                      time_point Now) {
  const auto NewDocuments = applyNewerDocuments(Rows);
  const bool IsStale = Revision < SeenRevision;
  ListAfter = IsStale ? 0 : Revision;
  SeenRevision = std::max(SeenRevision, Revision);
  if (!IsStale)
    recordPlatformAnswer(Sent);
  if (NewDocuments.empty())
    return;
  offerToOwnDomain(NewDocuments, Now);
  offerToOtherDomains(NewDocuments, Now);
}

void document_replicator::tick(time_point Now) {
  if (Now >= NextHeartbeat && !Peers.OwnDomain.empty()) {
    NextHeartbeat = Now + Options.HeartbeatInterval;
    sendHeartbeat(pickRandom(Peers.OwnDomain), Now);
  }
  if (Now < NextOtherDomainHeartbeat || Peers.OtherDomains.empty())
    return;
  NextOtherDomainHeartbeat = Now + Options.OtherDomainHeartbeatInterval;
  const auto Domain = std::next(
      Peers.OtherDomains.begin(),
      static_cast<std::ptrdiff_t>(Random() % Peers.OtherDomains.size()));
  if (!Domain->second.empty())
    sendHeartbeat(pickRandom(Domain->second), Now);
}

absl::Status document_replicator::receive(std::string_view Payload,
                                          time_point Now) {
  const auto Message = parseReplicationMessage(Payload);
  if (!Message.ok())
    return Message.status();
  const auto NewDocuments = applyNewerDocuments(Message->Documents);
  updateFreshness(*Message, Now);
  replication_message Reply = makeReply(*Message);
  const bool HasReply =
      Reply.Echo != 0 || !Reply.Wanted.empty() || !Reply.Documents.empty();
  if (HasReply)
    sendTo(Message->SenderAddress, std::move(Reply), Now);
  if (!NewDocuments.empty())
    offerToOwnDomain(NewDocuments, Now);
  return absl::OkStatus();
}

replication_message
document_replicator::makeReply(const replication_message &Message) const {
  replication_message Reply;
  Reply.Echo = Message.Token;
  if (Message.Token != 0 && Message.Digest != digest())
    Reply.Offered = allNumbers();
  for (const auto &[Service, Number] : Message.Offered)
    if (Number > numberOf(Service))
      Reply.Wanted.push_back(Service);
  std::size_t Bytes = 0;
  for (const auto &Service : Message.Wanted) {
    const auto Found = Newest.find(Service);
    if (Found == Newest.end() || Bytes > ReplyDocumentBytes)
      continue;
    Bytes += Found->second.Envelope.size();
    Reply.Documents.push_back(Found->second.Envelope);
  }
  return Reply;
}

// The sender's age is counted back from the time at which this VM sent the
// heartbeat, by its own clock. A reply that was delayed, or that waited while
// this process was suspended, therefore can't make this VM look fresher than it
// is. Only a sender with the same documents counts; otherwise this VM could be
// fresh without having the newest document.
void document_replicator::updateFreshness(const replication_message &Message,
                                          time_point Now) {
  const auto Time = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Now.time_since_epoch()).count());
  const std::uint64_t HeartbeatTime = Message.Echo - TokenBase;
  const bool IsUsable =
      Message.Echo >= TokenBase && HeartbeatTime <= Time &&
      Message.Digest == digest() &&
      Message.PlatformAnswerAgeMilliseconds < MaxAgeMilliseconds;
  if (IsUsable)
    recordPlatformAnswer(time_point(milliseconds(HeartbeatTime)) -
                         milliseconds(Message.PlatformAnswerAgeMilliseconds));
}

void document_replicator::recordPlatformAnswer(time_point Since) {
  PlatformAnswerTime =
      HasPlatformAnswer ? std::max(PlatformAnswerTime, Since) : Since;
  HasPlatformAnswer = true;
}

std::vector<service_document_number>
document_replicator::applyNewerDocuments(std::span<const std::string> Rows) {
  std::vector<service_document_number> NewDocuments;
  for (const auto &Row : Rows) {
    const auto Envelope = parseEnvelope(Row);
    if (Envelope.ok() && applyIfNewer(*Envelope, Row))
      NewDocuments.push_back({Envelope->Service, Envelope->Number});
  }
  return NewDocuments;
}

void document_replicator::sendHeartbeat(const std::string &Address,
                                        time_point Now) const {
  replication_message Heartbeat;
  const auto Time =
      std::chrono::duration_cast<milliseconds>(Now.time_since_epoch());
  Heartbeat.Token = TokenBase + static_cast<std::uint64_t>(Time.count());
  sendTo(Address, std::move(Heartbeat), Now);
}

freshness document_replicator::freshnessAt(time_point Now) const {
  if (Now < freshUntil())
    return freshness::Fresh;
  // Without other failure domains to compare with, an outage of the platform
  // can't be distinguished from a network partition.
  const bool HearsAll = Peers.AreAllDomainsHeard && !Peers.OtherDomains.empty();
  return HearsAll ? freshness::PlatformOut : freshness::CutOff;
}

time_point document_replicator::freshUntil() const {
  return HasPlatformAnswer ? PlatformAnswerTime + Options.FreshnessTimeout
                           : time_point();
}

document_number
document_replicator::numberOf(const service_name &Service) const {
  const auto Found = Newest.find(Service);
  return Found == Newest.end() ? 0 : Found->second.Number;
}

/** @returns true when the document was newer and is now in force. */
bool document_replicator::applyIfNewer(const document_envelope &Envelope,
                                       std::string_view Row) {
  if (Envelope.Number <= numberOf(Envelope.Service) ||
      !Hooks.Apply(Envelope).ok())
    return false;
  Newest[Envelope.Service] = {Envelope.Number, std::string(Row)};
  return true;
}

// The distances double: among n VMs a document reaches each within log2(n)
// steps, and no VM sends more than log2(n) offers or documents.
void document_replicator::offerToOwnDomain(
    const std::vector<service_document_number> &NewDocuments, time_point Now) {
  const auto &Others = Peers.OwnDomain;
  // This VM's position in the order, if it were in the list.
  const auto Position = static_cast<std::size_t>(
      std::ranges::lower_bound(Others, Self) - Others.begin());
  for (std::size_t Distance = 1; Distance <= Others.size(); Distance *= 2) {
    replication_message Offer;
    Offer.Offered = NewDocuments;
    sendTo(Others[(Position + Distance - 1) % Others.size()], std::move(Offer),
           Now);
  }
}

void document_replicator::offerToOtherDomains(
    const std::vector<service_document_number> &NewDocuments, time_point Now) {
  for (const auto &[Domain, Addresses] : Peers.OtherDomains) {
    if (Addresses.empty())
      continue;
    replication_message Offer;
    Offer.Offered = NewDocuments;
    sendTo(pickRandom(Addresses), std::move(Offer), Now);
  }
}

void document_replicator::sendTo(const std::string &Address,
                                 replication_message Message,
                                 time_point Now) const {
  Message.SenderAddress = Self;
  Message.Digest = digest();
  const auto Age =
      std::chrono::duration_cast<milliseconds>(Now - PlatformAnswerTime)
          .count();
  Message.PlatformAnswerAgeMilliseconds =
      HasPlatformAnswer ? static_cast<std::uint64_t>(std::max<long>(Age, 0))
                        : UnknownAge;
  Hooks.Send(Address, Message.serialize());
}

std::vector<service_document_number> document_replicator::allNumbers() const {
  std::vector<service_document_number> Numbers;
  for (const auto &[Service, Stored] : Newest)
    Numbers.push_back({Service, Stored.Number});
  return Numbers;
}

std::uint64_t document_replicator::digest() const {
  std::uint64_t Hash = FnvOffsetBasis;
  for (const auto &[Service, Stored] : Newest) {
    Hash = hashBytes(Service.view(), Hash);
    Hash = hashBytes(std::to_string(Stored.Number), Hash);
  }
  return Hash;
}

const std::string &
document_replicator::pickRandom(const std::vector<std::string> &Addresses) {
  return Addresses[Random() % Addresses.size()];
}

} // namespace sesamepaddle
