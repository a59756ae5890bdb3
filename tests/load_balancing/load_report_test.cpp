#include "sesamepaddle/load_balancing/endpoint_registry.h"
#include "sesamepaddle/load_balancing/load_report.h"

#include <doctest/doctest.h>

#include <string>

using namespace sesamepaddle;

namespace {

const time_point Start = time_point(std::chrono::hours(1));

/** Checks that @p Text is read as the load 3, 2, 8 with @p Pace. */
void checkLoad(const std::string &Text, load_report_kind Kind,
               std::optional<double> Pace) {
  CAPTURE(Text);
  const auto Report = decodeLoadReport(Text);
  CHECK(Report.Kind == Kind);
  REQUIRE(Report.Load.has_value());
  CHECK(Report.Load->Running == 3);
  CHECK(Report.Load->Waiting == 2);
  CHECK(Report.Load->Slots == 8);
  CHECK(Report.Load->Pace == Pace);
}

} // namespace

TEST_CASE("a load report with more figures than three is not dropped") {
  SUBCASE("running, waiting and slots") {
    checkLoad("3,2,8", load_report_kind::ThreeFigures, std::nullopt);
    checkLoad(" 3, 2, 8 ", load_report_kind::ThreeFigures, std::nullopt);
  }

  SUBCASE("and how long work takes, in percent of usual") {
    checkLoad("3,2,8,100", load_report_kind::FourFigures, 1.0);
    checkLoad("3,2,8,250", load_report_kind::FourFigures, 2.5);
    checkLoad("3,2,8,87.5", load_report_kind::FourFigures, 0.875);
  }

  SUBCASE("and figures that nobody knows yet") {
    checkLoad("3,2,8,250,7", load_report_kind::MoreFigures, 2.5);
    checkLoad("3,2,8,250,x,,-1", load_report_kind::MoreFigures, 2.5);
  }

  SUBCASE("a pace out of range is left out, the others are used") {
    for (const auto *Pace :
         {"0", "-100", "1e9", "nan", "inf", "fast", "", "10001"})
      checkLoad(std::string("3,2,8,") + Pace, load_report_kind::PaceIgnored,
                std::nullopt);
  }

  SUBCASE("nothing is used of one that is invalid") {
    for (const auto *Text :
         {"", "3", "3,2", "a,2,8", "3,,8", "-3,2,8", "3,2,0", "3,2,1000001",
          "4294967299,2,8", "3.5,2,8", "3;2;8", "3,2,-8,100"}) {
      CAPTURE(Text);
      const auto Report = decodeLoadReport(Text);
      CHECK(Report.Kind == load_report_kind::Invalid);
      CHECK_FALSE(Report.Load.has_value());
    }
  }
}

TEST_CASE("an endpoint's pace is kept with the time at which it was reported") {
  fleet_endpoint Endpoint;
  CHECK(Endpoint.Pace == 1);
  CHECK(Endpoint.PaceReportedAt == time_point{});
  const auto Later = Start + std::chrono::seconds(1);
  Endpoint.noteLoad({3, 2, 8, 2.5}, Start);
  CHECK(Endpoint.Pace == 2.5);
  CHECK(Endpoint.PaceReportedAt == Start);

  // A report without it says nothing about it.
  Endpoint.noteLoad({4, 0, 8, std::nullopt}, Later);
  CHECK(Endpoint.Load.Running == 4);
  CHECK(Endpoint.LoadReportedAt == Later);
  CHECK(Endpoint.Pace == 2.5);
  CHECK(Endpoint.PaceReportedAt == Start);
}

TEST_CASE("load reports are counted by kind") {
  load_report_counts Counts;
  for (const auto *Text :
       {"1,0,4", "1,0,4", "1,0,4,90", "1,0,4,90,1", "1,0,4,0", "1,0"})
    Counts.add(decodeLoadReport(Text).Kind);
  const auto Text = Counts.prometheusText();
  INFO(Text);
  for (const auto *Line :
       {"{kind=\"three\"} 2\n", "{kind=\"four\"} 1\n", "{kind=\"more\"} 1\n",
        "{kind=\"pace_ignored\"} 1\n", "{kind=\"invalid\"} 1\n"})
    CHECK(Text.find(std::string("sesamepaddle_load_reports") + Line) !=
          std::string::npos);
}
