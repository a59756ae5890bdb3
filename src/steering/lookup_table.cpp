#include "sesamepaddle/steering/lookup_table.h"

#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <numeric>
#include <utility>

namespace sesamepaddle {

namespace {

// All choices of an answer have the same weight.
constexpr unsigned EqualWeight = 100;
// Once an answer has this many fallbacks, no VMs of other sites are added.
constexpr std::size_t MostFallbacks = 6;

// All clients of one /24 are directed to the same site.
constexpr unsigned BlockShift = 8;

std::uint64_t blockKey(const lookup_query &Query) {
  if (!Query.Client)
    return 0;
  return static_cast<std::uint32_t>(*Query.Client) >> BlockShift;
}

std::uint64_t workspaceKey(const lookup_query &Query) {
  return stableHash(Query.Service) ^ (stableHash(Query.Workspace) << 1U);
}

} // namespace

lookup_table::lookup_table(std::shared_ptr<const block_map> Blocks,
                           std::vector<lookup_site> Sites,
                           std::span<const entry_candidate> Vms,
                           const failure_domain_name &OwnDomain,
                           std::chrono::milliseconds TimeToLive)
    : Blocks(std::move(Blocks)), TimeToLive(TimeToLive) {
  std::map<failure_domain_name, std::size_t> IndexByDomain;
  for (auto &Site : Sites) {
    IndexByDomain.emplace(Site.FailureDomain, this->Sites.size());
    this->Sites.push_back({std::move(Site), {}});
  }
  for (const auto &Vm : Vms) {
    const auto Found = IndexByDomain.find(Vm.FailureDomain);
    if (Vm.IsLeaving || Found == IndexByDomain.end())
      continue;
    this->Sites[Found->second].Vms.push_back(
        {{Vm.CallerAddress, Vm.FailureDomain, EqualWeight},
         Vm.Name.str(),
         stableHash(Vm.Name.view())});
  }
  if (const auto Own = IndexByDomain.find(OwnDomain);
      Own != IndexByDomain.end())
    OwnSite = static_cast<site_index>(Own->second);
  fillOrders();
}

lookup_answer lookup_table::find(const lookup_query &Query) const {
  lookup_answer Answer;
  Answer.TimeToLive = TimeToLive;
  if (Sites.empty())
    return Answer;
  const site_state &Near = Sites[nearestSite(Query)];
  const std::size_t Chosen = chooseSite(Near, blockKey(Query));
  const std::uint64_t Key = workspaceKey(Query);
  const auto Ranked = rankVms(Sites[Chosen], Query, Key);
  const std::size_t Named =
      Query.Workspace.empty()
          ? Ranked.size()
          : std::clamp<std::size_t>(Query.Spread, 1, Ranked.size());
  for (std::size_t Index = 0; Index < Ranked.size(); ++Index) {
    auto &List = Index < Named ? Answer.Choices : Answer.Fallbacks;
    List.push_back(Ranked[Index]->Choice);
  }
  addFallbacks(Near, Chosen, Key, Answer);
  return Answer;
}

std::size_t lookup_table::memoryBytes() const {
  std::size_t Bytes = Blocks ? Blocks->memoryBytes() : 0;
  for (const auto &State : Sites) {
    Bytes += sizeof(State) + State.Vms.capacity() * sizeof(site_vm);
    Bytes += State.Site.Order.capacity() * sizeof(site_index);
    Bytes += State.Site.Shares.capacity() * sizeof(double);
    for (const auto &Vm : State.Vms)
      Bytes += Vm.Name.capacity() + Vm.Choice.Address.capacity() +
               Vm.Choice.FailureDomain.str().capacity();
  }
  return Bytes;
}

void lookup_table::fillOrders() {
  for (std::size_t Index = 0; Index < Sites.size(); ++Index) {
    auto &Site = Sites[Index].Site;
    if (!Site.Order.empty())
      continue;
    Site.Order.resize(Sites.size());
    std::iota(Site.Order.begin(), Site.Order.end(), site_index{0});
    std::ranges::stable_sort(Site.Order, {}, [&](site_index Other) {
      const bool IsSame = Other == Index;
      const bool IsNear = Sites[Other].Site.Region == Site.Region;
      return std::pair(!IsSame, !IsNear);
    });
  }
}

site_index lookup_table::nearestSite(const lookup_query &Query) const {
  if (!Blocks || !Query.Client)
    return OwnSite;
  const auto Site = Blocks->find(*Query.Client);
  return Site && *Site < Sites.size() ? *Site : OwnSite;
}

// Uses weighted rendezvous hashing, so that a changed share moves few blocks.
// Sites without VMs are skipped.
std::size_t lookup_table::chooseSite(const site_state &Near,
                                     std::uint64_t BlockKey) const {
  std::optional<std::size_t> Best;
  double BestScore = 0;
  for (std::size_t Position = 0; Position < Near.Site.Shares.size();
       ++Position) {
    const std::size_t Index = Near.Site.Order[Position];
    const double Share = Near.Site.Shares[Position];
    if (Share <= 0 || Sites[Index].Vms.empty())
      continue;
    const double Score = rendezvousScore(BlockKey, Index, Share);
    if (Score > BestScore) {
      Best = Index;
      BestScore = Score;
    }
  }
  if (Best)
    return *Best;
  const auto Found = std::ranges::find_if(
      Near.Site.Order, [&](site_index I) { return !Sites[I].Vms.empty(); });
  return Found == Near.Site.Order.end() ? Near.Site.Order.front() : *Found;
}

std::vector<const lookup_table::site_vm *>
lookup_table::rankVms(const site_state &Site, const lookup_query &Query,
                      std::uint64_t Key) const {
  std::vector<std::pair<double, const site_vm *>> Scored;
  Scored.reserve(Site.Vms.size());
  for (const auto &Vm : Site.Vms) {
    const bool IsHome = !Query.Home.empty() && Vm.Name == Query.Home;
    Scored.emplace_back(IsHome ? std::numeric_limits<double>::max()
                               : rendezvousScore(Key, Vm.Hash, 1),
                        &Vm);
  }
  std::ranges::sort(Scored, std::greater(),
                    &decltype(Scored)::value_type::first);
  std::vector<const site_vm *> Ranked;
  Ranked.reserve(Scored.size());
  for (const auto &[Score, Vm] : Scored)
    Ranked.push_back(Vm);
  return Ranked;
}

void lookup_table::addFallbacks(const site_state &Near, std::size_t Chosen,
                                std::uint64_t Key,
                                lookup_answer &Answer) const {
  for (const auto Index : Near.Site.Order) {
    if (Answer.Fallbacks.size() >= MostFallbacks)
      return;
    if (Index == Chosen || Sites[Index].Vms.empty())
      continue;
    for (const auto *Vm : rankVms(Sites[Index], {}, Key))
      if (Answer.Fallbacks.size() < MostFallbacks)
        Answer.Fallbacks.push_back(Vm->Choice);
  }
}

std::vector<lookup_site> sitesOfDomains(std::span<const entry_candidate> Vms) {
  std::map<failure_domain_name, region_name> RegionByDomain;
  for (const auto &Vm : Vms)
    RegionByDomain.emplace(Vm.FailureDomain, Vm.Region);
  std::vector<lookup_site> Sites;
  Sites.reserve(RegionByDomain.size());
  for (const auto &[Domain, Region] : RegionByDomain)
    Sites.push_back({Region, Domain, {}, {}});
  return Sites;
}

} // namespace sesamepaddle
