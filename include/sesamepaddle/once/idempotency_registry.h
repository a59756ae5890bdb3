#ifndef SESAMEPADDLE_ONCE_IDEMPOTENCY_REGISTRY_H
#define SESAMEPADDLE_ONCE_IDEMPOTENCY_REGISTRY_H

#include "sesamepaddle/net/http_message.h"
#include "sesamepaddle/once/request_identifier.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** Bounds of the memory of outcomes. */
struct idempotency_limits {
  std::size_t Records = 100'000;
  std::size_t AnswerBytes = 32 * 1024 * 1024;
};

/** What to do with a request that carries an identifier. */
enum class idempotency_decision {
  Run,       ///< run it, then call settle()
  Wait,      ///< it runs now; the waiter is called when it is settled
  Answered,  ///< it ran; here is the answer
  Ran,       ///< it ran and was answered; the answer is no longer kept
  NotRun,    ///< it did not run and never will
  Unknown,   ///< it may have run, and never will run from now on
  Forgotten, ///< it may have run; its record made room for others
  Busy,      ///< every record is of a request that runs; nothing was recorded
  Foreign,   ///< only the VM of that name may decide
  NotIssued, ///< never issued for this scope: it can't run
  Reused,    ///< the identifier belongs to a request with other content
};

/** How a request that was allowed to run ended. */
enum class execution_result { Answered, NotRun, Unknown };

/** A decision, with the answer when there is one. */
struct begin_result {
  idempotency_decision Decision = idempotency_decision::Unknown;
  std::shared_ptr<const http_reply> Answer;
};

/** Called once when the request that it waits for has been settled. */
using settle_callback = std::function<void()>;

/** The identifiers that one process issued and how their requests ended.

    An identifier runs at most once: its first begin() gets Run, every later one
    the outcome. NotRun is final, so that an attempt that is still under way
    can't run it after its caller was told. When the memory is full the oldest
    settled records go, and every identifier up to theirs that has no record is
    Forgotten: it can't run any more. Not safe for threads.
*/
class idempotency_registry {
public:
  /** @param Secret  key of the tags, drawn at random by each process */
  idempotency_registry(vm_identity Self, std::string Secret,
                       idempotency_limits Limits = {});

  /** Issues an identifier. Costs no memory until it is used. */
  request_identifier issue(const request_scope &Scope);

  /** Decides on one attempt.
      @param Fingerprint  the request's content, to find reuse
      @param Waiter       kept when the decision is Wait */
  begin_result begin(const request_identifier &Identifier,
                     const request_scope &Scope, std::string_view Fingerprint,
                     settle_callback Waiter);

  /** Records how a request ended that got Run.
      @returns those who wait for it, to be called by the caller. */
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
  static begin_result verdictOf(record &Record, settle_callback Waiter);
  bool makeRoomForRecord();
  void dropAnswersBeyondLimit();

  vm_identity Self;
  std::string Secret;
  idempotency_limits Limits;
  record_map Records;
  std::size_t AnswerBytes = 0;
  std::uint64_t NextSequence = 1;
  std::uint64_t FirstKept = 1;       ///< below it, no record means Forgotten
  std::uint64_t FirstWithAnswer = 1; ///< below it, no answer is kept
};

} // namespace sesamepaddle

#endif
