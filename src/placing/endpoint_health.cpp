#include "sesamepaddle/placing/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace sesamepaddle {

namespace {

// Time after which an answer counts half. Good ones are forgotten faster, as
// those from before an endpoint turned bad say nothing any more; a bad endpoint
// is tried again after about twice the second.
constexpr double GoodHalfLifeSeconds = 1.0;
constexpr double BadHalfLifeSeconds = 2.5;
// Bad answers, and their share among all, from which an endpoint is passed
// over. The share has to exceed that of its service by the last figure.
constexpr double LeastBad = 1.4;
constexpr double SuspectShare = 0.4;
constexpr double AboveUsual = 0.25;
// A good answer is assumed beside those seen, so that one bad answer alone
// condemns nobody.
constexpr double AssumedGood = 0.5;
// Own evidence that the others should hear of, and how much less they forget.
constexpr double TellingBad = 0.3;
constexpr double ForgottenAnswers = 0.05;

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
  const auto Seen = total(Now);
  return Seen.Bad / (Seen.Good + Seen.Bad + AssumedGood);
}

void endpoint_health::judge(double UsualBadShare, time_point Now) {
  std::erase_if(Peers, [&](const auto &Entry) {
    const auto Left = decayed(Entry.second, Now);
    return Left.Good + Left.Bad < ForgottenAnswers;
  });
  const auto Seen = total(Now);
  const double Share = badShare(Now);
  IsSuspect = Seen.Bad >= LeastBad && Share >= SuspectShare &&
              Share >= UsualBadShare + AboveUsual;
}

bool endpoint_health::isWorthPublishing(time_point Now) const {
  return decayed(Own, Now).Bad >= TellingBad ||
         (!Peers.empty() && Own.AnswerCounts.Good > 0);
}

} // namespace sesamepaddle
