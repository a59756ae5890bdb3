#ifndef SESAMEPADDLE_IDEMPOTENCY_IDEMPOTENCY_REGISTRY_H
#define SESAMEPADDLE_IDEMPOTENCY_IDEMPOTENCY_REGISTRY_H

#include "sesamepaddle/idempotency/request_identifier.h"
#include "sesamepaddle/net/http_message.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** Bounds on the memory of an idempotency_registry. */
struct idempotency_limits {
  std::size_t Records = 100'000;              ///< identifiers with a record
  std::size_t AnswerBytes = 32 * 1024 * 1024; ///< all kept answers together
};

/** What to do with a request that carries an identifier. */
enum class idempotency_decision {
  Run,       ///< run it, then call settle()
  Wait,      ///< it is running; the callback is called when it is settled
  Answered,  ///< it ran; the answer is attached
  Ran,       ///< it ran and was answered; the answer is no longer kept
  NotRun,    ///< it did not run and never will
  Unknown,   ///< it may have run and will not run from now on
  Forgotten, ///< it may have run; its record was evicted
  Busy,      ///< all records are of running requests; nothing was recorded
  Foreign,   ///< another VM issued the identifier and has to decide
  NotIssued, ///< never issued for this scope, so it can't run
  Reused,    ///< the identifier belongs to a request with other content
};

/** How a request that was allowed to run ended. */
enum class execution_result {
  Answered, ///< it ran and its answer is known
  NotRun,   ///< it did not run
  Unknown,  ///< it may have run
};

/** A decision, with the answer when there is one. */
struct begin_result {
  idempotency_decision Decision = idempotency_decision::Unknown;
  std::shared_ptr<const http_reply> Answer;
};

/** Called once, when the request that the caller waits for is settled. */
using settle_callback = std::function<void()>;

/** The identifiers that one process issued and how their requests ended.

    An identifier runs at most once: its first begin() returns Run, every later
    one the outcome. NotRun is final: an attempt that is still under way can't
    run the request once a caller got that outcome. When the memory is full, the
    oldest settled records are evicted. From then on every identifier up to the
    newest evicted one that has no record is Forgotten and can't run any more.
    Not thread-safe.
*/
class idempotency_registry {
public:
  /** @param Secret  key of the tags in identifiers; each process uses a new
                     random one */
  idempotency_registry(vm_identity Self, std::string Secret,
                       idempotency_limits Limits = {});

  /** Issues an identifier. It takes no memory until it is used. */
  request_identifier issue(const request_scope &Scope);

  /** Decides on one attempt.
      @param Fingerprint  identifies the request's content; a different one
                          under the same identifier gives Reused
      @param OnSettled  kept when the decision is Wait */
  begin_result begin(const request_identifier &Identifier,
                     const request_scope &Scope, std::string_view Fingerprint,
                     settle_callback OnSettled);

  /** Records how a request ended after begin() returned Run for it.
      @param Answer  needed when @p Result is Answered
      @returns the callbacks of waiting attempts, which the caller must call */
  std::vector<settle_callback> settle(const request_identifier &Identifier,
                                      execution_result Result,
                                      std::shared_ptr<const http_reply> Answer);

  const vm_identity &self() const { return Self; }

  /** @returns the number of records kept. */
  std::size_t size() const { return Records.size(); }

  /** @returns the bytes of the answers kept. */
  std::size_t answerBytes() const { return AnswerBytes; }

private:
  enum class record_state { Running, Answered, NotRun, Unknown };
  struct record {
    record_state State = record_state::Running;
    std::string Fingerprint;
    std::shared_ptr<const http_reply> Answer;
    std::vector<settle_callback> Waiters;
  };
  using record_map = std::map<std::uint64_t, record>;

  std::string tagOf(std::uint64_t Sequence, const request_scope &Scope) const;
  bool isIssued(const request_identifier &Identifier,
                const request_scope &Scope) const;
  static begin_result resultOf(record &Record, settle_callback OnSettled);
  bool makeRoomForRecord();
  void dropAnswersBeyondLimit();

  vm_identity Self;
  std::string Secret;
  idempotency_limits Limits;
  record_map Records;
  std::size_t AnswerBytes = 0;
  std::uint64_t NextSequence = 1;
  std::uint64_t FirstKept = 1; ///< lower ones without a record are Forgotten
  std::uint64_t FirstWithAnswer = 1; ///< lower ones have no answer kept
};

} // namespace sesamepaddle

#endif
