#include "sesamepaddle/admission/workspace_quota.h"

#include "sesamepaddle/steering/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// Fraction of the tolerated overshoot that deepens the buckets, so that
// requests within the rate are not refused because a limit is divided. The rest
// covers homes that are replaced.
constexpr double UsedOvershoot = 0.4;
// A limit is divided among no more places than leave this many tokens for each:
// fewer would often be used up in one place while they lie unused in another.
constexpr double MinTokensPerPlace = 2;
// Time in which tokens that a home granted can be spent. They count against the
// bucket's depth for so long.
constexpr milliseconds GrantTime{700};
// The home counts from when it grants, the asker from when it asked, which is
// earlier. This covers clocks that run at different rates.
constexpr milliseconds GrantMargin{10};
// Requests for which tokens are asked in advance: those of this time.
constexpr double PrefetchSeconds = 0.55;
constexpr double MaxPrefetch = 64; // tokens
// Time constant of the rate of requests.
constexpr double RateSeconds = 2;
// Fraction of its tokens that a home grants at once, though always one: other
// VMs need some as well.
constexpr double MaxGrantFraction = 0.25;
// A home refuses VMs for as long as keeps its refusals below this rate.
constexpr double RefusalsPerSecond = 5;
constexpr milliseconds MinRefuseTime{20};
// Bound, so that a workspace that is within its limit again is served soon.
constexpr milliseconds MaxRefuseTime{1'000};
// VMs that were refused within this time count.
constexpr milliseconds RefusalMemory{2'000};
// A request is refused when this many homes have no token: with two, a limit's
// tokens are used up evenly in all places.
constexpr unsigned MaxEmptyHomes = 2;
// Bound on the VMs that a request waits for, whatever they answer.
constexpr std::size_t MaxAsks = 3;
// A home that did not answer is not asked for this time, twice as long after
// each further time.
constexpr milliseconds MinBackoff{250};
constexpr milliseconds MaxBackoff{2'000};
// Accounts that were not used for this long are dropped.
constexpr std::chrono::hours AccountLifetime{1};
// Retry-After while no home has refused, which happens when none answers.
constexpr double NoAnswerRetrySeconds = 0.25;

double toSeconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

template <typename Batch>
void dropExpired(std::deque<Batch> &Batches, time_point Now) {
  std::erase_if(Batches,
                [Now](const Batch &Entry) { return Entry.Until <= Now; });
}

} // namespace

// A limit without a burst needs a whole token all the same.
double quota_terms::depth() const {
  const double Allowed = RatePerSecond * toSeconds(Window) + Burst;
  return std::max(1.0, Burst + UsedOvershoot *
                                   (Allowed * OvershootRatio + OvershootSlack));
}

workspace_quota::workspace_quota(std::string Self, std::string OwnPlace,
                                 std::vector<std::string> Places)
    : Self(std::move(Self)), Homes(std::move(OwnPlace), std::move(Places)) {}

double workspace_quota::fraction() const {
  return View.IsConnected ? Homes.fraction() : 0;
}

std::vector<std::size_t>
workspace_quota::placesOf(const std::string &Workspace,
                          const quota_terms &Terms) const {
  return Homes.placesOf(
      Workspace,
      std::max<std::size_t>(
          1, static_cast<std::size_t>(Terms.depth() / MinTokensPerPlace)));
}

void workspace_quota::checkPause(time_point Now) {
  const bool WasPaused =
      LastUpdate != time_point{} && Now - LastUpdate > View.MaxPause;
  LastUpdate = Now;
  if (!WasPaused)
    return;
  HomesSince = Now + View.TakeoverDelay;
  for (auto &[Workspace, Account] : Accounts) {
    Account.Home.reset();
    Account.Batches.clear();
  }
}

void workspace_quota::updateFleet(const quota_fleet_view &Newer,
                                  time_point Now) {
  const bool IsFirst = LastUpdate == time_point{};
  checkPause(Now);
  // Up to now, homes have made tokens at their former rates.
  for (auto &[Workspace, Account] : Accounts)
    refresh(Workspace, Account, Now);
  View = Newer;
  const auto Change =
      Homes.update(View.Self, View.Others, View.IsComplete, View.SettleTime);
  if (Change == homes_change::Unsure)
    HomesSince = std::max(HomesSince, Now + View.TakeoverDelay);
  else if (Change == homes_change::Known || IsFirst)
    HomesSince = std::max(HomesSince, Now);
  std::erase_if(Accounts, [Now](const auto &Entry) {
    return Now - Entry.second.LastUse > AccountLifetime;
  });
  for (auto &[Workspace, Account] : Accounts)
    refresh(Workspace, Account, Now);
}

void workspace_quota::refresh(const std::string &Workspace, account &Account,
                              time_point Now) {
  const auto Places = placesOf(Workspace, Account.Terms);
  const bool IsHome = !Places.empty() && Homes.isOwnPlace(Places.front()) &&
                      Homes.homeOf(Workspace, Places.front()) == Self;
  auto &Home = Account.Home;
  if (!IsHome && !Home)
    return;
  // A limit that nobody has used since this VM became its home has earned
  // tokens all the same.
  if (!Home)
    Home.emplace(HomesSince);
  dropExpired(Home->Grants, Now);
  double Granted = 0;
  for (const auto &Grant : Home->Grants)
    Granted += Grant.Tokens;
  const double Part =
      Places.empty() ? 0 : fraction() / static_cast<double>(Places.size());
  const double Depth = std::max(0.0, Part * Account.Terms.depth() - Granted);
  // What is left at a former home goes as the bucket of the new one fills, so
  // that both together hold no more than one.
  const double MadeRate = Part * Account.Terms.RatePerSecond;
  const double Rate = IsHome ? MadeRate : -MadeRate;
  if (IsHome && !Home->IsHome) {
    // Tokens are made from when the former home has surely stopped.
    const double Left = Home->Bucket.available(Now);
    Home->Bucket = token_bucket(Rate, Depth, HomesSince);
    Home->Bucket.give(Left, HomesSince);
  } else {
    Home->Bucket.reshape(Rate, Depth, Now);
  }
  Home->IsHome = IsHome;
}

workspace_quota::account &
workspace_quota::accountOf(const workspace_name &Workspace,
                           const quota_terms &Terms, time_point Now) {
  checkPause(Now);
  auto &Account = Accounts[Workspace.str()];
  Account.Terms = Terms;
  Account.LastUse = Now;
  Account.EmptyUntil.resize(Homes.placeCount());
  refresh(Workspace.str(), Account, Now);
  dropExpired(Account.Batches, Now);
  return Account;
}

bool workspace_quota::admit(const workspace_name &Workspace,
                            const quota_terms &Terms, time_point Now) {
  if (Terms.RatePerSecond <= 0)
    return true;
  auto &Account = accountOf(Workspace, Terms, Now);
  Account.RecentRequests =
      1 + Account.RecentRequests *
              std::exp(-toSeconds(Now - Account.LastRequest) / RateSeconds);
  Account.LastRequest = Now;
  return take(Workspace, Terms, Now);
}

bool workspace_quota::take(const workspace_name &Workspace,
                           const quota_terms &Terms, time_point Now) {
  auto &Account = accountOf(Workspace, Terms, Now);
  if (!Account.Batches.empty()) {
    auto &Batch = Account.Batches.front();
    if (--Batch.Tokens < 1)
      Account.Batches.pop_front();
    ++Account.Activity.SpentReceived;
    return true;
  }
  if (!Account.Home || !Account.Home->Bucket.tryTake(1, Now))
    return false;
  ++Account.Activity.SpentOwn;
  return true;
}

bool workspace_quota::isAvoided(const std::string &Home, time_point Now) const {
  const auto Found = Unanswered.find(Home);
  return Found != Unanswered.end() && Now < Found->second.AvoidUntil;
}

std::optional<quota_ask>
workspace_quota::nextAsk(const workspace_name &Workspace,
                         const quota_terms &Terms, quota_search &Search,
                         time_point Now) {
  auto &Account = accountOf(Workspace, Terms, Now);
  if (Search.Asked.size() >= MaxAsks || Search.EmptyHomes >= MaxEmptyHomes)
    return std::nullopt;
  auto Places = placesOf(Workspace.str(), Terms);
  // The homes of other places take turns.
  const auto Far =
      Places.begin() +
      (!Places.empty() && Homes.isOwnPlace(Places.front()) ? 1 : 0);
  if (Search.Asked.empty())
    ++Account.Searches;
  if (const auto Count = std::distance(Far, Places.end()); Count > 1)
    std::rotate(Far,
                Far + static_cast<std::ptrdiff_t>(Account.Searches) % Count,
                Places.end());
  for (const auto Place : Places) {
    const auto &Home = Homes.homeOf(Workspace.str(), Place);
    if (Home.empty() || Home == Self || Now < Account.EmptyUntil[Place] ||
        isAvoided(Home, Now) ||
        std::find(Search.Asked.begin(), Search.Asked.end(), Home) !=
            Search.Asked.end())
      continue;
    Search.Asked.push_back(Home);
    // Another request has asked for the tokens in advance.
    const bool IsFirst = Account.OpenAsks++ == 0;
    const double Rate = Account.RecentRequests / RateSeconds;
    const double Prefetch =
        IsFirst ? std::min(MaxPrefetch, std::floor(Rate * PrefetchSeconds)) : 0;
    return quota_ask{Home, 1 + Prefetch, Homes.isOwnPlace(Place)};
  }
  return std::nullopt;
}

bool workspace_quota::receive(const workspace_name &Workspace,
                              const std::string &Home, const quota_grant &Grant,
                              time_point AskedAt, time_point Now) {
  Unanswered.erase(Home);
  const auto Found = Accounts.find(Workspace.str());
  if (Found == Accounts.end())
    return false;
  auto &Account = Found->second;
  const auto Until = AskedAt + GrantTime;
  if (Grant.Tokens >= 1 && Now < Until) {
    Account.Batches.push_back({std::floor(Grant.Tokens), Until});
    Account.Activity.Received += std::floor(Grant.Tokens);
  }
  if (Grant.Tokens >= 1)
    return false;
  for (std::size_t Place = 0; Place < Homes.placeCount(); ++Place)
    if (Homes.homeOf(Workspace.str(), Place) == Home)
      Account.EmptyUntil[Place] =
          Now + std::clamp(Grant.RefuseFor, MinRefuseTime, MaxRefuseTime);
  return Grant.IsHome;
}

void workspace_quota::endAsk(const workspace_name &Workspace) {
  const auto Found = Accounts.find(Workspace.str());
  if (Found != Accounts.end() && Found->second.OpenAsks > 0)
    --Found->second.OpenAsks;
}

void workspace_quota::noteUnanswered(const std::string &Home, time_point Now) {
  auto &Entry = Unanswered[Home];
  Entry.Backoff =
      std::clamp<duration>(Entry.Backoff * 2, MinBackoff, MaxBackoff);
  Entry.AvoidUntil = Now + Entry.Backoff;
}

quota_grant workspace_quota::grant(const std::string &Asker,
                                   const workspace_name &Workspace,
                                   const quota_terms &Terms, double Wanted,
                                   time_point Now) {
  auto &Account = accountOf(Workspace, Terms, Now);
  quota_grant Grant;
  if (!Account.Home)
    return Grant;
  auto &Home = *Account.Home;
  Grant.IsHome = Home.IsHome && fraction() > 0;
  const double Available = Home.Bucket.available(Now);
  const double Most = std::max(1.0, Available * MaxGrantFraction);
  const double Tokens = std::floor(std::min(Wanted, Most));
  if (Tokens >= 1 && Home.Bucket.tryTake(Tokens, Now)) {
    Grant.Tokens = Tokens;
    Account.Activity.Granted += Tokens;
    Home.Grants.push_back({Tokens, Now + GrantTime + GrantMargin});
    return Grant;
  }
  if (!Grant.IsHome)
    return Grant;
  Home.Refused[Asker] = Now;
  std::erase_if(Home.Refused, [Now](const auto &Entry) {
    return Now - Entry.second > RefusalMemory;
  });
  Grant.RefuseFor = milliseconds(std::llround(
      1e3 * static_cast<double>(Home.Refused.size()) / RefusalsPerSecond));
  return Grant;
}

double workspace_quota::secondsToAdmission(const workspace_name &Workspace,
                                           time_point Now) const {
  const auto Found = Accounts.find(Workspace.str());
  if (Found == Accounts.end())
    return NoAnswerRetrySeconds;
  std::optional<time_point> First;
  for (const auto Until : Found->second.EmptyUntil)
    if (Until > Now)
      First = std::min(First.value_or(Until), Until);
  return First ? toSeconds(*First - Now) : NoAnswerRetrySeconds;
}

std::vector<quota_activity> workspace_quota::takeActivity(std::size_t Most,
                                                          time_point Now) {
  const auto CountTokens = [](const quota_activity &Activity) {
    return Activity.SpentOwn + Activity.SpentReceived + Activity.Granted;
  };
  std::vector<std::pair<double, const std::string *>> Active;
  for (auto &[Workspace, Account] : Accounts) {
    const double Tokens = CountTokens(Account.Activity);
    const double New = Tokens - std::exchange(Account.ReportedTokens, Tokens);
    if (New > 0)
      Active.emplace_back(New, &Workspace);
  }
  const auto End = Active.begin() +
                   static_cast<std::ptrdiff_t>(std::min(Most, Active.size()));
  std::partial_sort(Active.begin(), End, Active.end(), std::greater<>());
  std::vector<quota_activity> Activities;
  for (auto Entry = Active.begin(); Entry != End; ++Entry) {
    const auto &Account = Accounts.at(*Entry->second);
    auto &Activity = Activities.emplace_back(Account.Activity);
    Activity.Workspace = *Entry->second;
    if (!Account.Home)
      continue;
    Activity.IsHome = Account.Home->IsHome;
    Activity.RatePerSecond = Account.Home->Bucket.rate();
    Activity.Available = Account.Home->Bucket.available(Now);
  }
  return Activities;
}

} // namespace sesamepaddle
