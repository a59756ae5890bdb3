#include "sesamepaddle/net/body_memory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sesamepaddle {

namespace {

// A body of unknown length that is smaller is not given up before larger ones
// of known length: most of them have an end. Of small limits, the fraction.
constexpr std::size_t MaxHarmlessBytes = 256U * 1024;
constexpr std::size_t MaxHarmlessFraction = 16;

// A taker without progress for this long may lose its body to others: twice the
// interval at which callers' progress is measured.
constexpr std::chrono::seconds MaxTakerPause{2};

} // namespace

body_memory::holding::holding(std::shared_ptr<body_memory> Shared,
                              std::function<void()> GiveUpBody)
    : Memory(std::move(Shared)), OnGiveUp(std::move(GiveUpBody)) {
  if (OnGiveUp)
    Memory->move(*this, phase::Arriving);
}

body_memory::holding::~holding() {
  Memory->move(*this, phase::Kept);
  Memory->Held -= Memory->counted(Bytes);
}

void body_memory::holding::setWhole() {
  Memory->move(*this, phase::Kept);
  OnGiveUp = nullptr;
}

void body_memory::holding::beginTaking(time_point Now,
                                       std::function<void()> GiveUpBody) {
  if (IsGivenUp)
    return;
  OnGiveUp = std::move(GiveUpBody);
  ProgressAt = Now;
  Memory->move(*this, phase::Taking);
}

void body_memory::holding::endTaking() { setWhole(); }

bool body_memory::holding::resize(std::size_t Wanted) {
  // Bytes that were received before it was given up may be parsed after it.
  if (IsGivenUp)
    return false;
  const auto Before = Memory->counted(Bytes);
  const auto After = Memory->counted(Wanted);
  const auto MaxHeld = Memory->limitFor(After);
  while (After > Before && Memory->Held - Before + After > MaxHeld) {
    auto *Other =
        After > MaxHeld ? nullptr : Memory->findToGiveUp(*this, Wanted);
    if (Other == nullptr || Other == this) {
      IsCrowdedOut = After <= MaxHeld && !Memory->isSuspect(*this, Wanted);
      return false;
    }
    Memory->giveUp(*Other);
  }
  Memory->Held += After;
  Memory->Held -= Before;
  Bytes = Wanted;
  return true;
}

bool body_memory::holding::reserve(std::string &Body, std::size_t Extra) {
  const auto Wanted = Body.size() + Extra;
  if (Wanted <= Body.capacity())
    return resize(Wanted);
  const auto Capacity = std::max(Wanted, Body.capacity() + Body.capacity() / 2);
  if (!resize(Body.size() + Capacity))
    return false;
  Body.reserve(Capacity);
  return resize(Wanted);
}

bool body_memory::isSuspect(const holding &Body, std::size_t Bytes) const {
  const auto Harmless = std::min(MaxHarmlessBytes, Limit / MaxHarmlessFraction);
  return !Body.IsLengthKnown && counted(Bytes) > Harmless;
}

body_memory::holding *body_memory::findToGiveUp(const holding &Growing,
                                                std::size_t Wanted) const {
  const auto BytesOf = [&](const holding *Body) {
    return Body == &Growing ? Wanted : Body->Bytes;
  };
  const auto IsSuspect = [&](const holding *Body) {
    return isSuspect(*Body, BytesOf(Body));
  };
  const auto Largest =
      std::max_element(Arriving.begin(), Arriving.end(),
                       [&](const holding *Left, const holding *Right) {
                         return std::pair(IsSuspect(Left), BytesOf(Left)) <
                                std::pair(IsSuspect(Right), BytesOf(Right));
                       });
  if (Largest != Arriving.end() && IsSuspect(*Largest))
    return *Largest;
  const auto Idlest = std::min_element(
      Taking.begin(), Taking.end(),
      [this](const holding *Left, const holding *Right) {
        // Those without counted bytes come last.
        return std::pair(counted(Left->Bytes) == 0, Left->ProgressAt) <
               std::pair(counted(Right->Bytes) == 0, Right->ProgressAt);
      });
  if (Idlest != Taking.end() && counted((*Idlest)->Bytes) > 0 &&
      (*Idlest)->ProgressAt + MaxTakerPause <= boot_clock::now())
    return *Idlest;
  const bool HasRoom =
      Largest != Arriving.end() && counted(BytesOf(*Largest)) > 0;
  return HasRoom ? *Largest : nullptr;
}

void body_memory::giveUp(holding &Body) {
  Body.IsCrowdedOut = !isSuspect(Body, Body.Bytes);
  const auto OnGiveUp = std::exchange(Body.OnGiveUp, nullptr);
  move(Body, phase::Kept);
  Held -= counted(std::exchange(Body.Bytes, 0));
  Body.IsGivenUp = true;
  ++GivenUp;
  OnGiveUp();
}

void body_memory::move(holding &Body, phase Phase) {
  if (Body.Phase != phase::Kept) {
    auto &Before = listOf(Body.Phase);
    Before.back()->Index = Body.Index;
    std::swap(Before[Body.Index], Before.back());
    Before.pop_back();
  }
  Body.Phase = Phase;
  if (Phase == phase::Kept)
    return;
  Body.Index = listOf(Phase).size();
  listOf(Phase).push_back(&Body);
}

} // namespace sesamepaddle
