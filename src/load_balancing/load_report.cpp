#include "sesamepaddle/load_balancing/load_report.h"

#include "sesamepaddle/core/text.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <vector>

namespace sesamepaddle {

namespace {

// Bound on each number of requests: far above what one endpoint can hold, and
// small enough that sums do not overflow.
constexpr unsigned MaxRequests = 1'000'000;
// Bounds on the pace, in percent: a hundred times as slow as usual is an
// endpoint that no decision would use.
constexpr double MaxPacePercent = 10'000;
constexpr double PercentAsUsual = 100;

// Names in the metric, by load_report_kind.
constexpr std::array<const char *, 5> KindNames = {"three", "four", "more",
                                                   "pace_ignored", "invalid"};

bool parseRequests(absl::string_view Text, unsigned &Requests) {
  return absl::SimpleAtoi(Text, &Requests) && Requests <= MaxRequests;
}

/** @returns the pace relative to usual; nothing when it is out of range. */
std::optional<double> parsePace(absl::string_view Text) {
  double Percent = 0;
  if (!absl::SimpleAtod(Text, &Percent) ||
      !(Percent > 0 && Percent <= MaxPacePercent))
    return std::nullopt;
  return Percent / PercentAsUsual;
}

} // namespace

load_report decodeLoadReport(std::string_view Text) {
  // The rest, after the fourth comma, is of no interest.
  const std::vector<absl::string_view> Figures =
      absl::StrSplit(toAbsl(Text), absl::MaxSplits(',', 4));
  reported_load Load;
  if (Figures.size() < 3 || !parseRequests(Figures[0], Load.Running) ||
      !parseRequests(Figures[1], Load.Waiting) ||
      !parseRequests(Figures[2], Load.Slots) || Load.Slots == 0)
    return {};
  if (Figures.size() == 3)
    return {load_report_kind::ThreeFigures, Load};
  Load.Pace = parsePace(Figures[3]);
  if (!Load.Pace)
    return {load_report_kind::PaceIgnored, Load};
  return {Figures.size() == 4 ? load_report_kind::FourFigures
                              : load_report_kind::MoreFigures,
          Load};
}

std::string load_report_counts::prometheusText() const {
  std::string Text;
  for (std::size_t Kind = 0; Kind < Counts.size(); ++Kind)
    absl::StrAppend(&Text, "sesamepaddle_load_reports{kind=\"",
                    KindNames.at(Kind), "\"} ", Counts.at(Kind), "\n");
  return Text;
}

} // namespace sesamepaddle
