#include "sesamepaddle/membership/membership_protocol.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// A heartbeat reaches most VMs of its failure domain after about log2(VMs)
// rounds of gossip, and the last one after as many again. These rounds are
// added to allow for lost messages.
constexpr unsigned SpareRounds = 5;

// Another domain counts as silent when neither this VM nor one that reports to
// it has received a message from there for this many summary intervals.
constexpr unsigned DomainSilenceRounds = 10;

// When neither tick() nor receive() ran for this long, and for this many
// heartbeat intervals, the process was paused and could not receive messages.
constexpr milliseconds MinPause{1'000};
constexpr unsigned MinPauseRounds = 3;

// Minimum time between two requests for the entries of the same domain. Without
// it, every message with a differing digest would cause a request.
constexpr milliseconds DomainEntryRequestInterval{1'000};

// Received ages are capped at this value, one year in milliseconds, so that no
// message can make the calculation in nanoseconds overflow.
constexpr std::uint64_t MaxAgeMilliseconds = 31'536'000'000;

// A leaving VM sends its departure to every VM of its own failure domain and to
// this many live VMs of each other domain, which forward it within theirs.
constexpr std::size_t LeaveContactsPerDomain = 2;

/** @returns @p PerItem times @p Items, but at least @p Min. */
milliseconds scaled(milliseconds Min, milliseconds PerItem, std::size_t Items) {
  return std::max(Min, PerItem * static_cast<long>(Items));
}

/** @returns the rounds of gossip in which one VM's entry reaches most of
    @p Vms: about log2, since each round doubles those that have it. */
unsigned roundsToReach(std::size_t Vms) {
  return static_cast<unsigned>(std::bit_width(Vms));
}

bool isEmpty(const membership_message &Message) {
  return Message.Entries.empty() && Message.Summaries.empty() &&
         Message.Descriptions.empty() && Message.DescriptionRequests.empty() &&
         Message.DomainEntryRequests.empty();
}

} // namespace

membership_protocol::membership_protocol(member_address Self,
                                         incarnation Incarnation,
                                         membership_options Options,
                                         std::uint64_t Seed,
                                         membership_send Send)
    : Self(std::move(Self)), Incarnation(Incarnation), Options(Options),
      Send(std::move(Send)), Random(Seed) {
  Table.describe({Incarnation, this->Self}, time_point());
}

void membership_protocol::setList(std::vector<listed_member> Listed) {
  List.clear();
  ++ListRevision;
  for (auto &Entry : Listed)
    if (Entry.Address.Name != Self.Name)
      List.insert_or_assign(Entry.Address.Name, std::move(Entry));
}

void membership_protocol::tick(time_point Now) {
  compensateForPause(Now);
  if (Now >= NextHeartbeat) {
    updateMemberStates(Now);
    NextHeartbeat = Now + heartbeatInterval();
    sendHeartbeat(Now);
  }
  if (Now >= NextSummaries) {
    NextSummaries = Now + summaryInterval();
    sendSummaries(Now);
  }
}

absl::Status membership_protocol::receive(std::string_view Payload,
                                          time_point Now) {
  auto Message = parseMembershipMessage(Payload);
  if (!Message.ok())
    return Message.status();
  compensateForPause(Now);
  for (const auto &Description : Message->Descriptions)
    if (Description.Incarnation != Incarnation)
      Table.describe(Description, Now);
  membership_message Reply;
  mergeEntries(*Message, Reply, Now);
  recordSender(Message->SenderAddress, Now);
  compareSummaries(*Message, Reply, Now);
  answerRequests(*Message, Reply);
  if (!isEmpty(Reply))
    sendTo(Message->SenderAddress, std::move(Reply));
  return absl::OkStatus();
}

void membership_protocol::leave(time_point Now) {
  if (std::exchange(IsLeaving, true))
    return;
  ++Heartbeat;
  Table.merge({Incarnation, Heartbeat, member_state::Leaving}, Now);
  membership_message Departures;
  addLeavingMembers(Departures, Now);
  for (const auto &Address : addressesOf(true))
    sendTo(Address, Departures);
  std::map<failure_domain_name, std::size_t> Contacted;
  for (const auto &Vm : view(Now))
    if (!isOwnDomain(Vm.Address) && Vm.State == member_state::Live &&
        Contacted[Vm.Address.FailureDomain]++ < LeaveContactsPerDomain)
      sendTo(Vm.Address.PeerAddress, Departures);
}

std::vector<member> membership_protocol::view(time_point Now) const {
  std::map<vm_name, const member_record *> Best;
  const auto IsLive = [](const member_record &Record) {
    return Record.Entry.State == member_state::Live;
  };
  // If several incarnations have one name, a live one is preferred, then the
  // one whose heartbeat or state changed last.
  for (const auto &[Key, Record] : Table.all()) {
    const member_record *&Present = Best[Record.Address.Name];
    const bool IsBetter =
        Present == nullptr ||
        std::pair(IsLive(Record),
                  std::max(Record.LastProgress, Record.LastChange)) >
            std::pair(IsLive(*Present),
                      std::max(Present->LastProgress, Present->LastChange));
    if (IsBetter)
      Present = &Record;
  }
  std::vector<member> Members;
  for (const auto &[Name, Record] : Best) {
    member Member{Record->Address, Record->Entry.Incarnation,
                  Record->Entry.State};
    if (Member.State == member_state::Live &&
        !isHeard(Member.Address.FailureDomain, Now))
      Member.State = member_state::Suspected;
    Members.push_back(std::move(Member));
  }
  for (const auto &[Name, Listed] : List)
    if (!Best.contains(Name))
      Members.push_back(
          {Listed.Address, incarnation{},
           Listed.IsLeaving ? member_state::Leaving : member_state::Unheard});
  return Members;
}

std::vector<domain_silence>
membership_protocol::silences(time_point Now) const {
  std::set<failure_domain_name> Domains;
  for (const auto &[Key, Record] : Table.all())
    Domains.insert(Record.Address.FailureDomain);
  for (const auto &[Name, Listed] : List)
    Domains.insert(Listed.Address.FailureDomain);
  Domains.erase(Self.FailureDomain);
  std::vector<domain_silence> Silences;
  for (const auto &Domain : Domains) {
    const auto Heard = LastHeard.find(Domain);
    Silences.push_back({Domain,
                        Heard == LastHeard.end() ? Now.time_since_epoch()
                                                 : Now - Heard->second,
                        isHeard(Domain, Now)});
  }
  return Silences;
}

duration membership_protocol::suspicionTime() const {
  return heartbeatInterval() * (SpareRounds + 2 * roundsToReach(OwnDomainSize));
}

duration membership_protocol::domainSilenceTime() const {
  return summaryInterval() * DomainSilenceRounds;
}

duration membership_protocol::heartbeatInterval() const {
  return scaled(Options.MinHeartbeatInterval, Options.HeartbeatIntervalPerVm,
                OwnDomainSize);
}

duration membership_protocol::summaryInterval() const {
  return scaled(Options.MinSummaryInterval, Options.SummaryIntervalPerDomain,
                LastHeard.size());
}

std::size_t membership_protocol::countOwnDomain() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Table.all(), [this](const auto &Item) {
        return isOwnDomain(Item.second.Address) &&
               Item.second.Entry.State != member_state::Leaving;
      }));
}

bool membership_protocol::isOwnDomain(const member_address &Address) const {
  return Address.FailureDomain == Self.FailureDomain;
}

bool membership_protocol::isHeard(const failure_domain_name &Domain,
                                  time_point Now) const {
  if (Domain == Self.FailureDomain)
    return true;
  const auto Heard = LastHeard.find(Domain);
  return Heard != LastHeard.end() && Now - Heard->second < domainSilenceTime();
}

bool membership_protocol::isListed(const vm_name &Name) const {
  const auto Found = List.find(Name);
  return Found != List.end() && !Found->second.IsLeaving;
}

// While this process was paused, for example frozen with its VM, it could
// receive nothing. Without this correction it would suspect all other VMs on
// resuming.
void membership_protocol::compensateForPause(time_point Now) {
  const duration Gap = Now - std::exchange(LastTick, Now);
  const duration Bound =
      std::max<duration>(MinPause, heartbeatInterval() * MinPauseRounds);
  if (Gap < Bound)
    return;
  Table.shiftProgressTimes(Gap);
  for (auto &[Domain, Heard] : LastHeard)
    Heard += Gap;
}

void membership_protocol::updateMemberStates(time_point Now) {
  OwnDomainSize = std::max<std::size_t>(countOwnDomain(), 1);
  Table.suspectSilent(Self.FailureDomain, Incarnation, Now - suspicionTime(),
                      Now);
  Table.forget(Now - Options.ForgetTime, [this](const member_record &Record) {
    return Record.Entry.Incarnation != Incarnation &&
           (Record.Entry.State == member_state::Leaving ||
            !isListed(Record.Address.Name));
  });
}

void membership_protocol::sendHeartbeat(time_point Now) {
  if (!IsLeaving) {
    ++Heartbeat;
    Table.merge({Incarnation, Heartbeat, member_state::Live}, Now);
  }
  const std::string Target = nextTarget(OwnDomainQueue, true);
  if (Target.empty())
    return;
  membership_message Message;
  for (const auto &Entry : Table.entriesOf(Self.FailureDomain))
    if (Entry.State == member_state::Live)
      Message.Entries.push_back(Entry);
  addLeavingMembers(Message, Now);
  if (Now >= NextOwnDomainSummaries) {
    NextOwnDomainSummaries = Now + summaryInterval();
    Message.Summaries = summarize(Now);
  }
  addOwnEntry(Message);
  sendTo(Target, std::move(Message));
}

void membership_protocol::sendSummaries(time_point Now) {
  const std::string Target = nextTarget(OtherDomainsQueue, false);
  if (Target.empty())
    return;
  membership_message Message;
  Message.Summaries = summarize(Now);
  addLeavingMembers(Message, Now);
  addOwnEntry(Message);
  sendTo(Target, std::move(Message));
}

void membership_protocol::sendTo(const std::string &Address,
                                 membership_message Message) {
  Message.SenderAddress = Self.PeerAddress;
  Send(Address, Message.serialize());
}

void membership_protocol::addLeavingMembers(membership_message &Message,
                                            time_point Now) const {
  for (const auto &[Key, Record] : Table.all())
    if (Record.Entry.State == member_state::Leaving &&
        Now - Record.LastChange < Options.LeaveAnnouncementTime) {
      Message.Entries.push_back(Record.Entry);
      Message.Descriptions.push_back({Key, Record.Address});
    }
}

// The sender can't know whether the receiver knows it. It always adds its own
// entry, and a receiver that does not know the incarnation requests its
// description.
void membership_protocol::addOwnEntry(membership_message &Message) const {
  const member_record *Own = Table.find(Incarnation);
  if (Own != nullptr && std::ranges::count(Message.Entries, Own->Entry) == 0)
    Message.Entries.push_back(Own->Entry);
}

std::vector<domain_summary>
membership_protocol::summarize(time_point Now) const {
  std::vector<domain_summary> Summaries;
  Summaries.push_back(
      {Self.FailureDomain, Table.liveDigest(Self.FailureDomain), 0});
  for (const auto &[Domain, Heard] : LastHeard)
    Summaries.push_back(
        {Domain, Table.liveDigest(Domain),
         static_cast<std::uint64_t>(
             std::chrono::duration_cast<milliseconds>(Now - Heard).count())});
  return Summaries;
}

std::vector<std::string>
membership_protocol::addressesOf(bool InOwnDomain) const {
  std::set<std::string> Addresses;
  std::set<vm_name> Known;
  for (const auto &[Key, Record] : Table.all()) {
    Known.insert(Record.Address.Name);
    if (Record.Entry.State != member_state::Leaving &&
        isOwnDomain(Record.Address) == InOwnDomain)
      Addresses.insert(Record.Address.PeerAddress);
  }
  // Listed VMs are contacted even where an earlier incarnation of the name has
  // left, since the VM may have been replaced.
  for (const auto &[Name, Listed] : List)
    if (!Listed.IsLeaving && isOwnDomain(Listed.Address) == InOwnDomain)
      Addresses.insert(Listed.Address.PeerAddress);
  Addresses.erase(Self.PeerAddress);
  return {Addresses.begin(), Addresses.end()};
}

// Goes through all addresses in random order, and shuffles anew for each pass.
// Unlike with independent random picks, the gap between two contacts of a pair
// is bounded: at most twice as many rounds as there are VMs.
std::string membership_protocol::nextTarget(std::vector<std::string> &Queue,
                                            bool InOwnDomain) {
  if (Queue.empty()) {
    Queue = addressesOf(InOwnDomain);
    std::ranges::shuffle(Queue, Random);
  }
  if (Queue.empty())
    return {};
  std::string Target = std::move(Queue.back());
  Queue.pop_back();
  return Target;
}

bool membership_protocol::isInOwnDomain(const std::string &Address) const {
  return std::ranges::any_of(Table.all(), [&](const auto &Item) {
    return Item.second.Address.PeerAddress == Address &&
           isOwnDomain(Item.second.Address);
  });
}

void membership_protocol::recordSender(const std::string &Address,
                                       time_point Now) {
  for (const auto &[Key, Record] : Table.all())
    if (Record.Address.PeerAddress == Address && !isOwnDomain(Record.Address))
      LastHeard[Record.Address.FailureDomain] = Now;
}

void membership_protocol::mergeEntries(const membership_message &Message,
                                       membership_message &Reply,
                                       time_point Now) {
  std::vector<incarnation> Left;
  for (const auto &Entry : Message.Entries) {
    if (Entry.Incarnation == Incarnation)
      continue;
    if (!Table.knows(Entry.Incarnation) && Entry.State != member_state::Leaving)
      Reply.DescriptionRequests.push_back(Entry.Incarnation);
    if (Table.merge(Entry, Now))
      Left.push_back(Entry.Incarnation);
  }
  if (!isInOwnDomain(Message.SenderAddress))
    forwardDepartures(Left, Now);
}

// A VM that learns of a departure in another domain from a VM outside its own
// domain forwards it to all live VMs of its own domain. Copies that arrive
// later change no state, so they are not forwarded again.
void membership_protocol::forwardDepartures(std::span<const incarnation> Left,
                                            time_point Now) {
  membership_message Departures;
  for (const auto &Key : Left) {
    const member_record *Record = Table.find(Key);
    if (Record == nullptr || isOwnDomain(Record->Address))
      continue;
    Departures.Entries.push_back(Record->Entry);
    Departures.Descriptions.push_back({Key, Record->Address});
  }
  if (Departures.Entries.empty())
    return;
  for (const auto &Vm : view(Now))
    if (isOwnDomain(Vm.Address) && Vm.State == member_state::Live &&
        Vm.Address.Name != Self.Name)
      sendTo(Vm.Address.PeerAddress, Departures);
}

void membership_protocol::compareSummaries(const membership_message &Message,
                                           membership_message &Reply,
                                           time_point Now) {
  for (const auto &Summary : Message.Summaries) {
    const auto &Domain = Summary.FailureDomain;
    if (Domain != Self.FailureDomain) {
      const std::uint64_t Age =
          std::min(Summary.AgeMilliseconds, MaxAgeMilliseconds);
      time_point &Heard = LastHeard[Domain];
      Heard = std::max(Heard, Now - milliseconds(Age));
    }
    if (Summary.LiveDigest == Table.liveDigest(Domain))
      continue;
    time_point &LastRequest = LastDomainEntryRequest[Domain];
    if (Now - LastRequest < DomainEntryRequestInterval)
      continue;
    LastRequest = Now;
    Reply.DomainEntryRequests.push_back(Domain);
    const auto Entries = Table.entriesOf(Domain);
    Reply.Entries.insert(Reply.Entries.end(), Entries.begin(), Entries.end());
  }
}

void membership_protocol::answerRequests(const membership_message &Message,
                                         membership_message &Reply) const {
  for (const auto &Key : Message.DescriptionRequests)
    if (const member_record *Record = Table.find(Key)) {
      Reply.Descriptions.push_back({Key, Record->Address});
      Reply.Entries.push_back(Record->Entry);
    }
  for (const auto &Domain : Message.DomainEntryRequests) {
    const auto Entries = Table.entriesOf(Domain);
    Reply.Entries.insert(Reply.Entries.end(), Entries.begin(), Entries.end());
  }
}

} // namespace sesamepaddle
