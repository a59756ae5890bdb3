#ifndef SESAMEPADDLE_LAB_LOAD_LOOKUP_CACHE_H
#define SESAMEPADDLE_LAB_LOAD_LOOKUP_CACHE_H

#include "sesamepaddle/net/http_client.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Caches the answer to a look-up for its time to live, as real callers do. */
class lookup_cache {
public:
  /** @param Source  entry VM to ask first
      @param Target  target of the look-up request, such as "/lookup" */
  lookup_cache(tcp::endpoint Source, std::string Target);

  /** Refreshes the cache if it has expired.
      @returns the entry VMs in the order in which to try them: one drawn by
      weight, then the other choices, then the fallbacks. */
  awaitable<std::vector<tcp::endpoint>> entries(http_client &Client,
                                                std::mt19937_64 &Random);

private:
  using steady = std::chrono::steady_clock;

  /** Keeps the old answer when no VM gives a new one. */
  awaitable<void> refresh(http_client &Client);
  void applyAnswer(const nlohmann::json &Answer);

  tcp::endpoint Source;
  std::string Target;
  std::vector<tcp::endpoint> Choices;
  std::vector<double> Weights; ///< one for each choice
  std::vector<tcp::endpoint> Fallbacks;
  steady::time_point ExpiresAt = steady::time_point::min();
};

} // namespace sesamepaddle

#endif
