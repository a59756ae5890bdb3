#ifndef SESAMEPADDLE_TESTS_ADAPTER_SCRIPTED_STORE_H
#define SESAMEPADDLE_TESTS_ADAPTER_SCRIPTED_STORE_H

#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/net/worker_pool.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sesamepaddle {

/** How the store answers at the moment. */
enum class store_behavior : std::uint8_t {
  Serving,
  Busy,   ///< 503: nothing is done
  Silent, ///< no answer
};

/** The users' store as its protocol says, in memory: rows, conditional writes
    and the feed, with its history lost, and away in two ways. Runs on the
    context of its pool; what a test does to it is posted there. */
class scripted_store {
public:
  explicit scripted_store(worker_pool &Pool);

  std::string address() const;

  /** Writes a row, or removes it. */
  void put(const std::string &Table, const std::string &Key,
           std::optional<std::string> Value);

  std::optional<std::string> value(const std::string &Table,
                                   const std::string &Key) const;

  /** Forgets all changes before the next one. */
  void dropHistory() { OldestKept = Revision; }

  store_behavior Behavior = store_behavior::Serving;
  std::size_t Calls = 0;

private:
  struct row {
    std::optional<std::string> Value;
    std::uint64_t Revision = 0;
  };

  awaitable<http_reply> answer(const http_request &Request);
  awaitable<http_reply> readFeed(std::string Target);
  http_reply readRows(std::string_view Target) const;
  http_reply commit(const std::string &Body);
  std::string describe(const std::string &Table, std::uint64_t After,
                       bool WithRemoved) const;

  std::map<std::pair<std::string, std::string>, row> Rows;
  std::uint64_t Revision = 0;
  std::uint64_t OldestKept = 0;
  std::unique_ptr<http_server> Server;
};

} // namespace sesamepaddle

#endif
