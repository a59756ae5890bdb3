#include "load/lookup_cache.h"

#include "sesamepaddle/net/http_server.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace sesamepaddle {

using json = nlohmann::json;

lookup_cache::lookup_cache(tcp::endpoint Source, std::string Target)
    : Source(std::move(Source)), Target(std::move(Target)) {}

awaitable<std::vector<tcp::endpoint>>
lookup_cache::entries(http_client &Client, std::mt19937_64 &Random) {
  if (steady::now() >= ExpiresAt)
    co_await refresh(Client);
  std::vector<tcp::endpoint> Order = Choices;
  if (!Order.empty()) {
    std::discrete_distribution<std::size_t> First(Weights.begin(),
                                                  Weights.end());
    std::swap(Order.front(), Order[First(Random)]);
  }
  Order.insert(Order.end(), Fallbacks.begin(), Fallbacks.end());
  co_return Order;
}

awaitable<void> lookup_cache::refresh(http_client &Client) {
  http_request Request;
  Request.Target = Target;
  // The source first, then every VM that the last answer named.
  std::vector<tcp::endpoint> Sources = {Source};
  Sources.insert(Sources.end(), Choices.begin(), Choices.end());
  Sources.insert(Sources.end(), Fallbacks.begin(), Fallbacks.end());
  http_call_options Options;
  Options.Timeout = std::chrono::milliseconds(1'000);
  for (const auto &Address : Sources) {
    const auto Reply = co_await Client.call(Address, Request, Options);
    if (!Reply.ok() || Reply->Status != 200)
      continue;
    const json Answer = json::parse(Reply->Body, nullptr, false);
    if (Answer.is_object())
      applyAnswer(Answer);
    co_return;
  }
}

void lookup_cache::applyAnswer(const json &Answer) {
  std::vector<tcp::endpoint> NewChoices;
  std::vector<tcp::endpoint> NewFallbacks;
  std::vector<double> NewWeights;
  const auto ForEachAddress = [](const json &List, auto Add) {
    for (const auto &Entry : List)
      if (const auto Address = parseEndpoint(Entry.value("address", ""));
          Address.ok())
        Add(*Address, Entry.value("weight", 1.0));
  };
  ForEachAddress(Answer.value("entries", json::array()),
                 [&](const tcp::endpoint &Address, double Weight) {
                   NewChoices.push_back(Address);
                   NewWeights.push_back(Weight);
                 });
  ForEachAddress(Answer.value("fallbacks", json::array()),
                 [&](const tcp::endpoint &Address, double) {
                   NewFallbacks.push_back(Address);
                 });
  Choices = std::move(NewChoices);
  Weights = std::move(NewWeights);
  Fallbacks = std::move(NewFallbacks);
  ExpiresAt =
      steady::now() + std::chrono::milliseconds(Answer.value("ttl_ms", 0L));
}

} // namespace sesamepaddle
