#include "sesamepaddle/membership/member_table.h"

namespace sesamepaddle {

namespace {

// How many departed incarnations are remembered. With 230 VMs replaced a day
// this covers 284 days and takes about 4 MB.
constexpr std::size_t DepartedLimit = 65'536;

/** The finalizer of splitmix64. It makes the terms of a sum look random, so
    that different sets of incarnations hardly ever give the same sum. */
std::uint64_t mixBits(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31);
}

/** @returns true when merging @p Next replaces @p Present. */
bool supersedes(const member_entry &Next, const member_entry &Present) {
  if (Present.State == member_state::Leaving)
    return false;
  if (Next.State == member_state::Leaving)
    return true;
  if (Next.Heartbeat != Present.Heartbeat)
    return Next.Heartbeat > Present.Heartbeat;
  return Next.State == member_state::Suspected &&
         Present.State == member_state::Live;
}

} // namespace

std::string_view memberStateName(member_state State) {
  switch (State) {
  case member_state::Live:
    return "live";
  case member_state::Suspected:
    return "suspected";
  case member_state::Leaving:
    return "leaving";
  case member_state::Unheard:
    return "unheard";
  }
  return "unknown";
}

void member_table::describe(const member_description &Description,
                            time_point Now) {
  if (Records.contains(Description.Incarnation))
    return;
  member_record Record;
  Record.Address = Description.Address;
  Record.Entry = {Description.Incarnation, 0,
                  Departed.contains(Description.Incarnation)
                      ? member_state::Leaving
                      : member_state::Suspected};
  Record.LastProgress = Now;
  Record.LastChange = Now;
  Records.emplace(Description.Incarnation, std::move(Record));
  ++Revision;
}

bool member_table::merge(const member_entry &Entry, time_point Now) {
  const auto Found = Records.find(Entry.Incarnation);
  if (Found == Records.end()) {
    if (Entry.State == member_state::Leaving)
      markDeparted(Entry.Incarnation);
    return false;
  }
  member_record &Record = Found->second;
  if (!supersedes(Entry, Record.Entry))
    return false;
  if (Entry.Heartbeat > Record.Entry.Heartbeat)
    Record.LastProgress = Now;
  if (Entry.State != Record.Entry.State) {
    Record.LastChange = Now;
    ++Revision;
  }
  const bool Left = Entry.State == member_state::Leaving;
  Record.Entry = Entry;
  if (Left)
    markDeparted(Entry.Incarnation);
  return Left;
}

void member_table::suspectSilent(const failure_domain_name &Domain,
                                 incarnation Self, time_point Limit,
                                 time_point Now) {
  for (auto &[Incarnation, Record] : Records) {
    const bool IsSilent =
        Record.Entry.State == member_state::Live && Record.LastProgress < Limit;
    if (!IsSilent || Incarnation == Self ||
        Record.Address.FailureDomain != Domain)
      continue;
    Record.Entry.State = member_state::Suspected;
    Record.LastChange = Now;
    ++Revision;
  }
}

void member_table::shiftProgressTimes(duration Pause) {
  for (auto &[Incarnation, Record] : Records)
    Record.LastProgress += Pause;
}

bool member_table::knows(incarnation Incarnation) const {
  return Records.contains(Incarnation) || Departed.contains(Incarnation);
}

const member_record *member_table::find(incarnation Incarnation) const {
  const auto Found = Records.find(Incarnation);
  return Found == Records.end() ? nullptr : &Found->second;
}

std::uint64_t
member_table::liveDigest(const failure_domain_name &Domain) const {
  // A sum, so that the order of the incarnations does not matter.
  std::uint64_t Digest = 0;
  for (const auto &[Incarnation, Record] : Records)
    if (Record.Entry.State == member_state::Live &&
        Record.Address.FailureDomain == Domain)
      Digest += mixBits(static_cast<std::uint64_t>(Incarnation));
  return Digest;
}

std::vector<member_entry>
member_table::entriesOf(const failure_domain_name &Domain) const {
  std::vector<member_entry> Entries;
  for (const auto &[Incarnation, Record] : Records)
    if (Record.Address.FailureDomain == Domain)
      Entries.push_back(Record.Entry);
  return Entries;
}

void member_table::markDeparted(incarnation Incarnation) {
  if (!Departed.insert(Incarnation).second)
    return;
  DepartedInOrder.push_back(Incarnation);
  if (DepartedInOrder.size() <= DepartedLimit)
    return;
  Departed.erase(DepartedInOrder.front());
  DepartedInOrder.pop_front();
}

} // namespace sesamepaddle
