#ifndef SESAMEPADDLE_INGRESS_ROW_FRESHNESS_H
#define SESAMEPADDLE_INGRESS_ROW_FRESHNESS_H

#include "sesamepaddle/core/clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace sesamepaddle {

/** Rows of the store on which a request depends. */
enum class row_kind : std::uint8_t {
  Orders,    ///< configuration, evacuations and rollouts
  Endpoints, ///< which endpoints there are
};

/** @returns the name of @p Kind for logs. */
std::string_view nameOf(row_kind Kind);

/** The time in which a change that the store has confirmed has to be in force
    at each VM; absent: any. */
struct row_bounds {
  std::optional<std::chrono::milliseconds> Orders{2'000};
  std::optional<std::chrono::milliseconds> Endpoints{2'000};
};

/** Knows how old the rows of the store are on which this VM acts, and whether
    it may still act on them.

    A VM whose rows are old because it is slow, or because their answer is long,
    may not send requests by them: an endpoint may have left, a route or a key
    may be gone. It can say so at once, and its callers go to another VM. A VM
    that the store does not answer goes on with what it has: nobody may know any
    better.
*/
class row_freshness {
public:
  /** Sets the time up to which the rows include all changes in the store. */
  void setAsOf(row_kind Kind, time_point Time);

  /** Sets whether the store leaves this VM's reads of the rows without an
      answer. */
  void setUnanswered(row_kind Kind, bool IsUnanswered);

  /** @returns the age of the older rows; the longest time before all have been
      read. */
  std::chrono::milliseconds age(time_point Now) const;

  /** @returns the rows that are too old to act on, or nothing; nothing either
      for rows that were never set. */
  std::optional<row_kind> outdated(const row_bounds &Bounds,
                                   time_point Now) const;

private:
  struct state {
    std::optional<time_point> AsOf;
    bool IsUnanswered = false;
  };
  std::array<state, 2> States; ///< by row_kind
};

} // namespace sesamepaddle

#endif
