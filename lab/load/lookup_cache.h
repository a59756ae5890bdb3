#ifndef SESAMEPADDLE_LAB_LOAD_LOOKUP_CACHE_H
#define SESAMEPADDLE_LAB_LOAD_LOOKUP_CACHE_H

#include "sesamepaddle/net/http_client.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Keeps the answer to a look-up for its time to live, as a caller does. */
class lookup_cache {
public:
  /** @param Source  an entry VM that is asked first
      @param Target  what is asked for, such as "/lookup" */
  lookup_cache(tcp::endpoint Source, std::string Target);

  /** @returns the entry VMs in the order in which to try them: one drawn by
      weight, the other choices, then the fallbacks. */
  awaitable<std::vector<tcp::endpoint>> entries(http_client &Client,
                                                std::mt19937_64 &Random);

private:
  using steady = std::chrono::steady_clock;

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
