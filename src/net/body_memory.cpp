#include "sesamepaddle/net/body_memory.h"

#include <algorithm>
#include <utility>

namespace sesamepaddle {

namespace {

// A body of unknown length that is smaller is not given up before larger ones
// of known length: most of them have an end. Of small limits, the fraction.
constexpr std::size_t MaxHarmlessBytes = 256U * 1024;
constexpr std::size_t MaxHarmlessFraction = 16;

} // namespace

body_memory::holding::holding(std::shared_ptr<body_memory> Shared,
                              std::function<void()> GiveUpBody)
    : Memory(std::move(Shared)), OnGiveUp(std::move(GiveUpBody)) {
  if (!OnGiveUp)
    return;
  Index = Memory->Arriving.size();
  Memory->Arriving.push_back(this);
}

body_memory::holding::~holding() {
  setWhole();
  Memory->Held -= Bytes;
}

void body_memory::holding::setWhole() {
  if (std::exchange(OnGiveUp, nullptr))
    Memory->remove(*this);
}

bool body_memory::holding::resize(std::size_t Wanted) {
  // Bytes that were received before it was given up may be parsed after it.
  if (IsGivenUp)
    return false;
  while (Wanted > Bytes && Wanted - Bytes > Memory->available()) {
    auto *Other = Memory->findToGiveUp(*this, Wanted);
    if (Other == nullptr || Other == this)
      return false;
    const auto GiveUp = std::exchange(Other->OnGiveUp, nullptr);
    Memory->remove(*Other);
    Memory->Held -= std::exchange(Other->Bytes, 0);
    Other->IsGivenUp = true;
    ++Memory->GivenUp;
    GiveUp();
  }
  Memory->Held += Wanted;
  Memory->Held -= Bytes;
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

body_memory::holding *body_memory::findToGiveUp(const holding &Growing,
                                                std::size_t Wanted) const {
  const auto BytesOf = [&](const holding *Body) {
    return Body == &Growing ? Wanted : Body->Bytes;
  };
  const auto Harmless = std::min(MaxHarmlessBytes, Limit / MaxHarmlessFraction);
  const auto IsSuspect = [&](const holding *Body) {
    return !Body->IsLengthKnown && BytesOf(Body) > Harmless;
  };
  const auto Found =
      std::max_element(Arriving.begin(), Arriving.end(),
                       [&](const holding *Left, const holding *Right) {
                         return std::pair(IsSuspect(Left), BytesOf(Left)) <
                                std::pair(IsSuspect(Right), BytesOf(Right));
                       });
  return Found == Arriving.end() ? nullptr : *Found;
}

void body_memory::remove(holding &Whole) {
  Arriving.back()->Index = Whole.Index;
  std::swap(Arriving[Whole.Index], Arriving.back());
  Arriving.pop_back();
}

} // namespace sesamepaddle
