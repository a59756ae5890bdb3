#include "sesamepaddle/ingress/removal_grace.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// Living endpoints write their rows again within about two seconds of the
// store's return; the rest is the way of the rows to this VM.
constexpr milliseconds GracePeriod{2'200};
// Three seconds after the store's return a VM is bound again by what the store
// had confirmed before it was lost. The last read that failed was sent before
// the return. A VM whose next read comes late takes the return for no later
// than this time after that one: with the grace period, and the way of a
// request to its endpoint, that is within those three seconds.
constexpr milliseconds LatestReturn{700};
// Rows expire after three heartbeat intervals without a heartbeat, which come
// about every 1.5 s and are back within two seconds. Reads that fail for less
// than the rest hide no row that expired.
constexpr milliseconds ShortestOutage{1'200};

} // namespace

void removal_grace::recordUnread(time_point From, time_point To) {
  // Rows of another VM may be newer than a read that has failed only now.
  if (HeldUntil && To <= *HeldUntil)
    return;
  if (!Unread)
    Unread = {From, To};
  Unread->To = std::max(Unread->To, To);
  // The endpoints whose rows are still missing cannot write them now.
  if (Until && From < *Until)
    Until = std::max(*Until, To + LatestReturn + GracePeriod);
}

std::optional<time_point> removal_grace::returnTime(const arrival &Rows) const {
  if (!HeldUntil)
    return std::nullopt;
  if (Rows.IsRestored)
    return Rows.ServedSince && *Rows.ServedSince > *HeldUntil
               ? std::min(*Rows.ServedSince, Rows.AsOf)
               : Rows.AsOf;
  const bool IsInGrace = Unread && Until && Unread->From < *Until;
  if (!Unread || (Rows.AsOf - *HeldUntil <= ShortestOutage && !IsInGrace))
    return std::nullopt;
  // Where the store has served the other VM all the time, it was not away: this
  // VM alone could not read it.
  if (Rows.ServedSince)
    return *Rows.ServedSince > Unread->From
               ? std::optional(std::min(*Rows.ServedSince, Rows.AsOf))
               : std::nullopt;
  if (Rows.AsOf < Unread->To)
    return std::nullopt;
  return std::min(Rows.AsOf, Unread->To + LatestReturn);
}

std::optional<time_point> removal_grace::recordRows(const arrival &Rows) {
  if (HeldUntil && Rows.AsOf < *HeldUntil && !Rows.IsRestored)
    return std::nullopt;
  const auto Return = returnTime(Rows);
  if (Return) {
    ServedSince = Return;
    Until = std::max(Until.value_or(time_point{}), *Return + GracePeriod);
  } else if (!ServedSince) {
    ServedSince = std::min(Rows.ServedSince.value_or(Rows.AsOf), Rows.AsOf);
  }
  HeldUntil = std::max(HeldUntil.value_or(Rows.AsOf), Rows.AsOf);
  if (Unread && *HeldUntil >= Unread->To)
    Unread.reset();
  else if (Unread)
    Unread->From = std::max(Unread->From, *HeldUntil);
  return Return;
}

std::optional<time_point> removal_grace::until(time_point Now) const {
  return Until && Now < *Until ? Until : std::nullopt;
}

} // namespace sesamepaddle
