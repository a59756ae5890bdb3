#include "sesamepaddle/load_balancing/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Half-lives of the counts. Good answers decay faster, since those from before
// an endpoint began to fail are no longer relevant. A suspect endpoint gets no
// requests while others can be used, and is tried again after about two
// half-lives of the bad answers.
constexpr double GoodHalfLifeSeconds = 1.0;
constexpr double BadHalfLifeSeconds = 2.5;
// An endpoint is suspect from this count of bad answers on, if their share also
// reaches MinBadShare and exceeds the median of its service by MinExcessShare.
constexpr double MinBadAnswers = 1.4;
constexpr double MinBadShare = 0.4;
constexpr double MinExcessShare = 0.25;
// Good answers added to the counts in badShare(), so that a single bad answer
// alone does not make an endpoint suspect.
constexpr double AssumedGoodAnswers = 0.5;
// Count of bad answers from which this VM sends its counts to the others.
constexpr double MinPublishedBadAnswers = 0.3;
// Decayed count of answers below which the entry of another VM is dropped.
constexpr double MinKeptAnswers = 0.05;

} // namespace

answer_counts endpoint_health::decayed(const series &Series, time_point Now) {
  const double Seconds =
      std::max(0.0, std::chrono::duration<double>(Now - Series.At).count());
  return {Series.AnswerCounts.Good * std::exp2(-Seconds / GoodHalfLifeSeconds),
          Series.AnswerCounts.Bad * std::exp2(-Seconds / BadHalfLifeSeconds)};
}

void endpoint_health::add(bool IsBad, time_point Now) {
  Own.AnswerCounts = decayed(Own, Now);
  Own.At = Now;
  ++(IsBad ? Own.AnswerCounts.Bad : Own.AnswerCounts.Good);
}

void endpoint_health::applyPeer(const std::string &Vm, answer_counts Seen,
                                time_point Now) {
  Peers[Vm] = {Seen, Now};
}

answer_counts endpoint_health::own(time_point Now) const {
  return decayed(Own, Now);
}

answer_counts endpoint_health::total(time_point Now) const {
  auto Sum = decayed(Own, Now);
  for (const auto &[Vm, Series] : Peers) {
    const auto Part = decayed(Series, Now);
    Sum.Good += Part.Good;
    Sum.Bad += Part.Bad;
  }
  return Sum;
}

double endpoint_health::badShare(time_point Now) const {
  if (hasOnlyGood())
    return 0;
  const auto Seen = total(Now);
  return Seen.Bad / (Seen.Good + Seen.Bad + AssumedGoodAnswers);
}

// True of nearly all endpoints, which are judged several times a second.
bool endpoint_health::hasOnlyGood() const {
  return Own.AnswerCounts.Bad == 0 && Peers.empty();
}

void endpoint_health::judge(double UsualBadShare, time_point Now) {
  if (hasOnlyGood()) {
    IsSuspect = false;
    return;
  }
  std::erase_if(Peers, [&](const auto &Entry) {
    const auto Left = decayed(Entry.second, Now);
    return Left.Good + Left.Bad < MinKeptAnswers;
  });
  const auto Seen = total(Now);
  const double Share = badShare(Now);
  IsSuspect = Seen.Bad >= MinBadAnswers && Share >= MinBadShare &&
              Share >= UsualBadShare + MinExcessShare;
}

bool endpoint_health::isWorthPublishing(time_point Now) const {
  // Once another VM has reported answers, the good ones of this VM matter too:
  // they may outweigh the bad ones of the other.
  return decayed(Own, Now).Bad >= MinPublishedBadAnswers ||
         (!Peers.empty() && Own.AnswerCounts.Good > 0);
}

} // namespace sesamepaddle
