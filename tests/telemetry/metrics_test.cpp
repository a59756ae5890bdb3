#include "sesamepaddle/telemetry/metrics.h"

#include <doctest/doctest.h>

#include <dlfcn.h>
#include <pthread.h>
#include <regex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

const workspace_name Bakery("bakery");

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

/** @returns the value of the first sample whose line starts with @p Start, or
    -1. */
double sample(const metrics &Metrics, const std::string &Start) {
  for (const auto &Line : linesOf(Metrics.prometheusText()))
    if (Line.starts_with(Start))
      return std::stod(Line.substr(Line.rfind(' ') + 1));
  return -1;
}

const std::string Name = "sesamepaddle_request_duration_seconds";

} // namespace

// The thread sanitizer replaces pthread_mutex_lock itself.
#if !defined(__SANITIZE_THREAD__)
static thread_local std::uint64_t LockedMutexes = 0;

// Replaces the C library's function, so that a test can count the locks taken
// by its own thread.
extern "C" int pthread_mutex_lock(pthread_mutex_t *Mutex) {
  using lock_function = int (*)(pthread_mutex_t *);
  static const auto Original =
      reinterpret_cast<lock_function>(::dlsym(RTLD_NEXT, "pthread_mutex_lock"));
  ++LockedMutexes;
  return Original(Mutex);
}
#endif

TEST_CASE("metrics are exported in the Prometheus text format") {
  metrics Metrics;
  Metrics.add(Bakery, "place/answered", milliseconds(5));
  Metrics.add(Bakery, "place/answered", milliseconds(50));
  Metrics.add(Bakery, "place/rate-exceeded", milliseconds(1));
  Metrics.add(workspace_name("kennel"), "chart/answered", milliseconds(2));

  SUBCASE("every line has the format") {
    const std::regex Sample(
        R"re([a-z_]+\{workspace="[^"]*",class="[^"]*"(,le="[^"]+")?\} [0-9.e+-]+)re");
    for (const auto &Line : linesOf(Metrics.prometheusText()))
      if (!Line.starts_with("# "))
        CHECK_MESSAGE(std::regex_match(Line, Sample), Line);
    const auto Lines = linesOf(Metrics.prometheusText());
    CHECK(Lines[0].starts_with("# HELP " + Name + " "));
    CHECK(Lines[1] == "# TYPE " + Name + " histogram");
  }
  SUBCASE("each workspace and class is counted separately") {
    CHECK(sample(Metrics, Name + "_count{workspace=\"bakery\",class=\"place/"
                                 "answered\"}") == 2);
    CHECK(sample(Metrics, Name + "_count{workspace=\"bakery\",class=\"place/"
                                 "rate-exceeded\"}") == 1);
    CHECK(sample(Metrics, Name + "_count{workspace=\"kennel\",class=\"chart/"
                                 "answered\"}") == 1);
    CHECK(
        sample(Metrics,
               Name + "_sum{workspace=\"bakery\",class=\"place/answered\"}") ==
        doctest::Approx(0.055));
  }
  SUBCASE("buckets are cumulative and the last one contains all") {
    const std::string Bucket =
        Name + "_bucket{workspace=\"bakery\",class=\"place/answered\",le=\"";
    double Last = 0;
    int Buckets = 0;
    for (const auto &Line : linesOf(Metrics.prometheusText())) {
      if (!Line.starts_with(Bucket))
        continue;
      const double Count = std::stod(Line.substr(Line.rfind(' ') + 1));
      CHECK(Count >= Last);
      Last = Count;
      ++Buckets;
    }
    CHECK(Last == 2);
    CHECK(sample(Metrics, Bucket + "+Inf\"}") == 2);

    SUBCASE("the set of buckets does not depend on the latencies") {
      Metrics.add(Bakery, "place/answered", milliseconds(700));
      int After = 0;
      for (const auto &Line : linesOf(Metrics.prometheusText()))
        After += Line.starts_with(Bucket) ? 1 : 0;
      CHECK(After == Buckets);
    }
  }
  SUBCASE("labels are escaped") {
    Metrics.add(workspace_name("a\"b\\c\nd"), "x", milliseconds(1));
    CHECK(sample(Metrics, Name + "_count{workspace=\"a\\\"b\\\\c\\nd\"") == 1);
  }
}

TEST_CASE("a latency outside the histogram's range is counted") {
  metrics Metrics;
  Metrics.add(Bakery, "slow", std::chrono::hours(1));
  Metrics.add(Bakery, "slow", std::chrono::nanoseconds(0));
  CHECK(sample(Metrics, Name + "_count") == 2);
  CHECK(sample(Metrics, Name + "_sum") == doctest::Approx(3'600));
}

TEST_CASE("the summary gives quantiles in milliseconds") {
  metrics Metrics;
  for (int Request = 1; Request <= 1'000; ++Request)
    Metrics.add(Bakery, "place/answered", milliseconds(Request));
  const std::string Summary = Metrics.jsonSummary();
  const auto Value = [&](const std::string &Key) {
    const auto Place = Summary.find("\"" + Key + "\":");
    REQUIRE(Place != std::string::npos);
    return std::stod(Summary.substr(Place + Key.size() + 3));
  };
  // The upper edge of a bin is up to 26% above the exact quantile.
  CHECK(Value("count") == 1'000);
  CHECK(Value("p50_ms") >= 500);
  CHECK(Value("p50_ms") <= 630);
  CHECK(Value("p99_ms") >= 990);
  CHECK(Value("p99_ms") <= 1'260);
}

#if !defined(__SANITIZE_THREAD__)
TEST_CASE("counting for a known workspace and class takes no lock") {
  metrics Metrics;
  Metrics.add(Bakery, "place/answered", milliseconds(1));
  CHECK(LockedMutexes > 0);
  LockedMutexes = 0;
  for (int Request = 0; Request < 1'000; ++Request)
    Metrics.add(Bakery, "place/answered", milliseconds(1));
  CHECK(LockedMutexes == 0);
}
#endif

TEST_CASE("concurrent adds lose no event, even while series are created") {
  constexpr int Threads = 4;
  constexpr int Adds = 5'000;
  metrics Metrics;
  std::vector<std::thread> Workers;
  Workers.reserve(Threads);
  for (int Worker = 0; Worker < Threads; ++Worker)
    Workers.emplace_back([&Metrics] {
      for (int Add = 0; Add < Adds; ++Add)
        Metrics.add(Bakery, "class-" + std::to_string(Add / 1'000),
                    milliseconds(1));
    });
  for (auto &Worker : Workers)
    Worker.join();
  for (int Class = 0; Class < Adds / 1'000; ++Class)
    CHECK(sample(Metrics, Name + "_count{workspace=\"bakery\",class=\"class-" +
                              std::to_string(Class) + "\"}") ==
          Threads * 1'000);
}
