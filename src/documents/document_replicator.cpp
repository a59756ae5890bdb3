#include "sesamepaddle/documents/document_replicator.h"

#include "sesamepaddle/documents/failures.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// Stands for 'never' in a message.
constexpr std::uint64_t NoAge = std::numeric_limits<std::uint64_t>::max();

// A VM that lacks many documents, such as a new one, asks for them in parts, so
// that no message outgrows a frame between VMs.
constexpr std::size_t MessageBytes = 512 * 1024;

// Ages beyond a year are not told apart; it keeps sums from overflowing.
constexpr std::uint64_t LongestAge = 31'536'000'000;

/** FNV-1a, the same on every VM. */
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Hash) {
  for (const char Byte : Bytes)
    Hash = (Hash ^ static_cast<unsigned char>(Byte)) * 0x100000001b3U;
  return Hash;
}

constexpr std::uint64_t HashStart = 0xcbf29ce484222325U;

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

// An makeReply that shows an older revision than was seen comes from an old
// read: its rows can do no harm, but it proves nothing about the present. The
// next read asks for all rows, in case the table itself was set back.
void document_replicator::takeListing(std::span<const std::string> Rows,
                                      std::uint64_t Revision, time_point Sent,
                                      time_point Now) {
  const auto News = applyNewerDocuments(Rows);
  const bool IsOldRead = Revision < SeenRevision;
  ListAfter = IsOldRead ? 0 : Revision;
  SeenRevision = std::max(SeenRevision, Revision);
  if (!IsOldRead)
    recordPlatformAnswer(Sent);
  if (News.empty())
    return;
  offerToOwnDomain(News, Now);
  offerToOtherDomains(News, Now);
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
  const auto News = applyNewerDocuments(Message->Documents);
  updateFreshness(*Message, Now);
  replication_message Reply = makeReply(*Message);
  const bool HasReply =
      Reply.Echo != 0 || !Reply.Wanted.empty() || !Reply.Documents.empty();
  if (HasReply)
    sendTo(Message->SenderAddress, std::move(Reply), Now);
  if (!News.empty())
    offerToOwnDomain(News, Now);
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
    if (Found == Newest.end() || Bytes > MessageBytes)
      continue;
    Bytes += Found->second.Envelope.size();
    Reply.Documents.push_back(Found->second.Envelope);
  }
  return Reply;
}

// Freshness counts from when this VM asked, on its own clock: an makeReply that
// was late, or waited while this process was frozen, claims nothing too new. It
// counts only from a VM with the same documents, or this one could call itself
// fresh and lack the newest.
void document_replicator::updateFreshness(const replication_message &Message,
                                          time_point Now) {
  const auto Time = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Now.time_since_epoch()).count());
  const std::uint64_t Asked = Message.Echo - TokenBase;
  const bool IsAnswer = Message.Echo >= TokenBase && Asked <= Time &&
                        Message.Digest == digest() &&
                        Message.PlatformAnswerAgeMilliseconds < LongestAge;
  if (IsAnswer)
    recordPlatformAnswer(time_point(milliseconds(Asked)) -
                         milliseconds(Message.PlatformAnswerAgeMilliseconds));
}

void document_replicator::recordPlatformAnswer(time_point Since) {
  PlatformAnswerTime =
      HasPlatformAnswer ? std::max(PlatformAnswerTime, Since) : Since;
  HasPlatformAnswer = true;
}

std::vector<service_document_number>
document_replicator::applyNewerDocuments(std::span<const std::string> Rows) {
  std::vector<service_document_number> News;
  for (const auto &Row : Rows) {
    const auto Envelope = parseEnvelope(Row);
    if (Envelope.ok() && applyIfNewer(*Envelope, Row))
      News.push_back({Envelope->Service, Envelope->Number});
  }
  return News;
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
  // A VM that hears nobody beyond its domain can't tell an outage from a cut.
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

/** @returns true when the document is newer and now in force. */
bool document_replicator::applyIfNewer(const document_envelope &Envelope,
                                       std::string_view Row) {
  if (Envelope.Number <= numberOf(Envelope.Service) ||
      !Hooks.Apply(Envelope).ok())
    return false;
  Newest[Envelope.Service] = {Envelope.Number, std::string(Row)};
  return true;
}

// The distances double, so that with n VMs everybody is within log2(n) steps
// and nobody sends more than log2(n) offers or texts.
void document_replicator::offerToOwnDomain(
    const std::vector<service_document_number> &News, time_point Now) {
  const auto &Others = Peers.OwnDomain;
  const auto Place = static_cast<std::size_t>(
      std::ranges::lower_bound(Others, Self) - Others.begin());
  for (std::size_t Distance = 1; Distance <= Others.size(); Distance *= 2) {
    replication_message Offer;
    Offer.Offered = News;
    sendTo(Others[(Place + Distance - 1) % Others.size()], std::move(Offer),
           Now);
  }
}

void document_replicator::offerToOtherDomains(
    const std::vector<service_document_number> &News, time_point Now) {
  for (const auto &[Domain, Addresses] : Peers.OtherDomains) {
    if (Addresses.empty())
      continue;
    replication_message Offer;
    Offer.Offered = News;
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
                        : NoAge;
  Hooks.Send(Address, Message.serialize());
}

std::vector<service_document_number> document_replicator::allNumbers() const {
  std::vector<service_document_number> Numbers;
  for (const auto &[Service, Stored] : Newest)
    Numbers.push_back({Service, Stored.Number});
  return Numbers;
}

std::uint64_t document_replicator::digest() const {
  std::uint64_t Hash = HashStart;
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
