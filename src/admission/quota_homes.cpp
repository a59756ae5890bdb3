#include "sesamepaddle/admission/quota_homes.h"

#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>
#include <set>

namespace sesamepaddle {

namespace {

// A VM with less than this fraction of the processor time that the largest VM
// of its place has is no home: it would answer late while it is busy.
constexpr double MinCoresFraction = 0.5;
// VMs that start together differ in their uptime by less than this.
constexpr std::chrono::seconds StartSpread{2};

/** @returns the VMs of a place that may be homes. */
std::vector<const quota_vm *> eligibleVms(std::vector<const quota_vm *> Vms,
                                          duration SettleTime) {
  duration LongestUptime{0};
  for (const auto *Vm : Vms)
    LongestUptime = std::max(LongestUptime, Vm->Uptime);
  const auto Needed = std::min(SettleTime, LongestUptime - StartSpread);
  std::erase_if(Vms, [&](const auto *Vm) { return Vm->Uptime < Needed; });
  double MostCores = 0;
  for (const auto *Vm : Vms)
    MostCores = std::max(MostCores, Vm->Cores);
  std::erase_if(Vms, [&](const auto *Vm) {
    return Vm->Cores < MostCores * MinCoresFraction;
  });
  return Vms;
}

} // namespace

quota_homes::quota_homes(std::string Place, std::vector<std::string> PlaceNames)
    : OwnPlace(std::move(Place)) {
  std::sort(PlaceNames.begin(), PlaceNames.end());
  PlaceNames.erase(std::unique(PlaceNames.begin(), PlaceNames.end()),
                   PlaceNames.end());
  for (auto &Name : PlaceNames) {
    const auto Hash = stableHash(Name);
    Places.push_back({std::move(Name), Hash, {}});
  }
}

homes_change quota_homes::update(const quota_vm &SelfVm,
                                 const std::vector<quota_vm> &Others,
                                 bool IsComplete, duration SettleTime) {
  // A VM of unknown place may be in this one, or in any other.
  std::size_t Known = 1;
  std::size_t Heard = 1;
  std::set<std::string_view> Inhabited = {OwnPlace};
  bool AreAllPlacesKnown = IsComplete;
  for (const auto &Vm : Others) {
    AreAllPlacesKnown = AreAllPlacesKnown && !Vm.Place.empty();
    Inhabited.insert(Vm.Place);
    if (!Vm.Place.empty() && Vm.Place != OwnPlace)
      continue;
    ++Known;
    Heard += Vm.IsHeard ? 1 : 0;
  }
  Fraction = static_cast<double>(Heard) / static_cast<double>(Known);
  auto OwnChange = homes_change::None;
  for (auto &Place : Places) {
    Place.HasVms = !AreAllPlacesKnown || Inhabited.contains(Place.Name);
    std::vector<const quota_vm *> Ready;
    if (SelfVm.IsReady && isOwnPlace(Place))
      Ready.push_back(&SelfVm);
    for (const auto &Vm : Others)
      if (Vm.IsReady && Vm.Place == Place.Name)
        Ready.push_back(&Vm);
    // A VM that stops serves its callers to the end, also as the last one.
    if (Ready.empty() && isOwnPlace(Place))
      Ready.push_back(&SelfVm);
    std::vector<home_candidate> Candidates;
    for (const auto *Vm : eligibleVms(std::move(Ready), SettleTime))
      Candidates.push_back({Vm->Name, stableHash(Vm->Name)});
    std::sort(Candidates.begin(), Candidates.end(),
              [](const home_candidate &Left, const home_candidate &Right) {
                return Left.Name < Right.Name;
              });
    if (Candidates == Place.Candidates)
      continue;
    if (isOwnPlace(Place)) {
      const auto IsSilent = [&](const home_candidate &Former) {
        const auto Vm = std::find_if(
            Others.begin(), Others.end(),
            [&](const quota_vm &Other) { return Other.Name == Former.Name; });
        return Former.Name != SelfVm.Name &&
               (Vm == Others.end() || !Vm->IsHeard);
      };
      OwnChange = std::any_of(Place.Candidates.begin(), Place.Candidates.end(),
                              IsSilent)
                      ? homes_change::Unsure
                      : homes_change::Known;
    }
    Place.Candidates = std::move(Candidates);
  }
  return OwnChange;
}

std::vector<std::size_t> quota_homes::placesOf(std::string_view Workspace,
                                               std::size_t Most) const {
  std::vector<std::size_t> Order;
  for (std::size_t Index = 0; Index < Places.size(); ++Index)
    if (Places[Index].HasVms)
      Order.push_back(Index);
  if (Most < Order.size()) {
    const auto Key = stableHash(Workspace);
    std::sort(Order.begin(), Order.end(),
              [&](std::size_t Left, std::size_t Right) {
                return rendezvousScore(Key, Places[Left].Hash, 1) >
                       rendezvousScore(Key, Places[Right].Hash, 1);
              });
    Order.resize(Most);
  }
  std::stable_partition(Order.begin(), Order.end(), [this](std::size_t Place) {
    return isOwnPlace(Places[Place]);
  });
  return Order;
}

const std::string &quota_homes::homeOf(std::string_view Workspace,
                                       std::size_t Place) const {
  static const std::string None;
  const auto Key = stableHash(Workspace);
  const std::string *Best = &None;
  double BestScore = 0;
  for (const auto &Candidate : Places[Place].Candidates) {
    const double Score = rendezvousScore(Key, Candidate.Hash, 1);
    if (Best->empty() || Score > BestScore) {
      Best = &Candidate.Name;
      BestScore = Score;
    }
  }
  return *Best;
}

} // namespace sesamepaddle
