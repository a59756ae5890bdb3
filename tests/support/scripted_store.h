#ifndef SESAMEPADDLE_TESTS_SUPPORT_SCRIPTED_STORE_H
#define SESAMEPADDLE_TESTS_SUPPORT_SCRIPTED_STORE_H

#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/net/worker_pool.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace sesamepaddle {

/** How the fake store answers requests. */
enum class store_behavior : std::uint8_t {
  Serving,
  Busy,   ///< answers 503 and applies nothing
  Silent, ///< does not answer
};

/** In-memory fake of the platform's store with rows, conditional writes and the
    feed of changes. It can drop its history and simulate two kinds of outage.
    Runs on the context of its pool; a test must post its calls there. */
class scripted_store {
public:
  explicit scripted_store(worker_pool &Pool);

  std::string address() const;

  /** Writes a row, or removes it when there is no @p Value. */
  void put(const std::string &Table, const std::string &Key,
           std::optional<std::string> Value);

  /** @returns the value of a row; nothing when it does not exist. */
  std::optional<std::string> value(const std::string &Table,
                                   const std::string &Key) const;

  /** @returns the store's steady clock. */
  double secondsNow() const;
  std::uint64_t revision() const { return Revision; }

  /** Forgets all changes so far; a feed that asks for them gets 410. */
  void dropHistory() { OldestKept = Revision; }

  /** Makes a backup of all rows. */
  void backUp() { Backup = {Rows, Revision}; }
  /** Goes back to the backup: later rows are gone, and their versions are given
      out again. */
  void restore();

  std::optional<std::uint64_t> Era; ///< named in all answers; unset: not
  store_behavior Behavior = store_behavior::Serving;
  std::set<std::string> SilentTables; ///< whose reads are not answered
  std::size_t Calls = 0;              ///< requests received
  std::map<std::string, std::size_t> AnsweredReads; ///< by table
  std::function<void()> BeforeCommit; ///< runs before each write is applied

private:
  struct row {
    std::optional<std::string> Value;
    std::uint64_t Revision = 0;
  };

  awaitable<http_reply> answer(const http_request &Request);
  awaitable<http_reply> answerInEra(const http_request &Request);
  awaitable<http_reply> readFeed(std::string Target);
  http_reply readRows(std::string_view Target) const;
  http_reply commit(const std::string &Body);
  std::string describe(const std::string &Table, std::uint64_t After,
                       bool WithRemoved) const;

  using row_map = std::map<std::pair<std::string, std::string>, row>;

  row_map Rows;
  std::uint64_t Revision = 0;
  std::pair<row_map, std::uint64_t> Backup;
  std::chrono::steady_clock::time_point StartedAt =
      std::chrono::steady_clock::now();
  std::uint64_t OldestKept = 0; ///< the oldest revision a feed may start from
  std::unique_ptr<http_server> Server;
};

} // namespace sesamepaddle

#endif
