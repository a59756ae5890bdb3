#include "sesamepaddle/ingress/stop_schedule.h"

#include <algorithm>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// Callers may cache a directory response, which is valid for a second, for
// three times as long. The rest is a margin.
constexpr milliseconds MaxDirectoryCacheTime{3'300};
// Requests that were sent within 3 s of the signal may be broken off at the end
// of the grace period. The rest is for a signal that is handled late: decoding
// a large configuration takes a VM of 0.1 cores up to 250 ms.
constexpr milliseconds MaxRiskTime{2'700};
// The process ends so long before it would be killed.
constexpr milliseconds EndMargin{350};
// To write the last answers.
constexpr milliseconds AnswerMargin{150};

} // namespace

stop_schedule::stop_schedule(time_point Start,
                             std::optional<milliseconds> GracePeriod)
    : Start(Start), GracePeriod(GracePeriod) {}

bool stop_schedule::isNamed(time_point Now) const {
  return Now - Start < MaxDirectoryCacheTime;
}

time_point stop_schedule::end() const {
  return GracePeriod ? Start + *GracePeriod - EndMargin : time_point::max();
}

time_point stop_schedule::answersDue() const {
  return GracePeriod ? end() - AnswerMargin : time_point::max();
}

// A request that may be repeated costs its caller little if it takes unusually
// long, and few callers know of the stop yet. Later ones would be broken off
// although their callers could have gone to another VM at once.
bool stop_schedule::mayTake(request_kind Kind, time_point Deadline,
                            duration UsualTime, time_point Now) const {
  const bool MayRisk =
      Kind == request_kind::Idempotent && Now - Start < MaxRiskTime;
  const auto End = MayRisk ? std::min(Deadline, Now + UsualTime) : Deadline;
  return End <= answersDue();
}

} // namespace sesamepaddle
