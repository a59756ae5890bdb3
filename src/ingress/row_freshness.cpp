#include "sesamepaddle/ingress/row_freshness.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// From the decision to send a request until it reaches its endpoint.
constexpr milliseconds SendMargin{300};
// Rows are read about once a second: with a shorter limit a VM would refuse
// requests although its rows are as recent as they can be.
constexpr milliseconds LeastLimit{1'500};

milliseconds ageAt(std::optional<time_point> AsOf, time_point Now) {
  if (!AsOf)
    return milliseconds::max();
  return std::chrono::duration_cast<milliseconds>(Now - *AsOf);
}

} // namespace

std::string_view nameOf(row_kind Kind) {
  switch (Kind) {
  case row_kind::Orders:
    return "orders";
  case row_kind::Endpoints:
    return "endpoints";
  }
  return "unknown";
}

void row_freshness::setAsOf(row_kind Kind, time_point Time) {
  States.at(static_cast<std::size_t>(Kind)).AsOf = Time;
}

void row_freshness::setUnanswered(row_kind Kind, bool IsUnanswered) {
  States.at(static_cast<std::size_t>(Kind)).IsUnanswered = IsUnanswered;
}

milliseconds row_freshness::age(time_point Now) const {
  milliseconds Oldest{0};
  for (const auto &State : States)
    Oldest = std::max(Oldest, ageAt(State.AsOf, Now));
  return Oldest;
}

std::optional<row_kind> row_freshness::outdated(const row_bounds &Bounds,
                                                time_point Now) const {
  for (const auto Kind : {row_kind::Orders, row_kind::Endpoints}) {
    const auto &State = States.at(static_cast<std::size_t>(Kind));
    const auto Bound =
        Kind == row_kind::Orders ? Bounds.Orders : Bounds.Endpoints;
    if (State.AsOf && !State.IsUnanswered && Bound &&
        ageAt(State.AsOf, Now) > std::max(*Bound - SendMargin, LeastLimit))
      return Kind;
  }
  return std::nullopt;
}

} // namespace sesamepaddle
