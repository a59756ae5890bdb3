#include "sesamepaddle/telemetry/metrics.h"

#include "sesamepaddle/core/rcu_cell.h"
#include "sesamepaddle/core/text.h"

#include "absl/strings/str_cat.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace sesamepaddle {

namespace {

namespace bh = boost::histogram;

// Ten bins per decade from 10 us to 100 s. Edges lie 26% apart: an exact
// quantile is within 13% of the middle of its bin, and the upper edge, which is
// reported, is at most 26% above it.
constexpr unsigned Bins = 70;
constexpr double ShortestSeconds = 1e-5;
constexpr double LongestSeconds = 100;

// Every second bin edge is exported to Prometheus. The set of buckets is fixed:
// a bucket that appears and disappears with its count would distort the rates
// computed from it.
constexpr int EdgesPerExportedBucket = 2;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_bins =
    bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using latency_histogram = bh::histogram<std::tuple<latency_axis>, latency_bins>;

/** The histogram and the sum of latencies of one workspace and class. */
struct series {
  latency_histogram Histogram = bh::make_histogram_with(
      latency_bins(), latency_axis(Bins, ShortestSeconds, LongestSeconds));
  std::atomic<std::uint64_t> SumMicroseconds{0};
};

/** A workspace and a class. */
using series_key = std::pair<std::string, std::string>;

/** Compares keys with pairs of string views without copying strings. */
struct series_less {
  using is_transparent = void; // NOLINT(readability-identifier-naming)
  template <typename Left, typename Right>
  bool operator()(const Left &A, const Right &B) const {
    const std::string_view A1 = A.first;
    const std::string_view B1 = B.first;
    return A1 != B1 ? A1 < B1
                    : std::string_view(A.second) < std::string_view(B.second);
  }
};

using series_map = std::map<series_key, std::shared_ptr<series>, series_less>;

std::uint64_t countOf(const series &Series) {
  std::uint64_t Count = 0;
  for (auto &&Bin : bh::indexed(Series.Histogram, bh::coverage::all))
    Count += static_cast<std::uint64_t>(*Bin);
  return Count;
}

/** @returns the upper edge, in seconds, of the bin that contains the quantile
    @p Fraction (0 to 1); 0 without events. */
double quantile(const series &Series, double Fraction) {
  const double Wanted = Fraction * static_cast<double>(countOf(Series));
  double Seen = 0;
  for (auto &&Bin : bh::indexed(Series.Histogram, bh::coverage::all)) {
    Seen += static_cast<double>(static_cast<std::uint64_t>(*Bin));
    if (Seen >= Wanted && Seen > 0)
      return std::min(Bin.bin().upper(), LongestSeconds);
  }
  return 0;
}

/** Escapes quotes, backslashes and line breaks as Prometheus labels require. */
std::string escapeLabel(std::string_view Text) {
  std::string Escaped;
  for (const char Character : Text) {
    if (Character == '"' || Character == '\\' || Character == '\n')
      Escaped += '\\';
    Escaped += Character == '\n' ? 'n' : Character;
  }
  return Escaped;
}

void appendSeries(std::string &Text, const series_key &Key,
                  const series &Series) {
  constexpr absl::string_view Name = "sesamepaddle_request_duration_seconds";
  const std::string Labels =
      absl::StrCat("workspace=\"", escapeLabel(Key.first), "\",class=\"",
                   escapeLabel(Key.second), "\"");
  std::uint64_t Cumulative = 0;
  for (auto &&Bin : bh::indexed(Series.Histogram, bh::coverage::all)) {
    Cumulative += static_cast<std::uint64_t>(*Bin);
    const bool IsOverflow = Bin.index() == static_cast<int>(Bins);
    if (!IsOverflow && (Bin.index() + 1) % EdgesPerExportedBucket == 0)
      absl::StrAppend(&Text, Name, "_bucket{", Labels, ",le=\"",
                      Bin.bin().upper(), "\"} ", Cumulative, "\n");
  }
  absl::StrAppend(&Text, Name, "_bucket{", Labels, ",le=\"+Inf\"} ", Cumulative,
                  "\n");
  absl::StrAppend(&Text, Name, "_sum{", Labels, "} ",
                  static_cast<double>(Series.SumMicroseconds.load()) / 1e6,
                  "\n");
  absl::StrAppend(&Text, Name, "_count{", Labels, "} ", Cumulative, "\n");
}

std::string jsonText(std::string_view Text) {
  return absl::StrCat("\"", escapeLabel(Text), "\"");
}

} // namespace

/** The series by workspace and class. Readers use an immutable map; adding a
    series publishes a copy of it. */
class metrics::registry {
public:
  /** Counts one event. The series is updated within the read of the map: a copy
      of its shared pointer would make all threads contend for the reference
      count. */
  void add(std::string_view Workspace, std::string_view Class,
           duration Latency) {
    const auto Key = std::make_pair(Workspace, Class);
    if (tryAdd(Key, Latency))
      return;
    addSeries(Key);
    tryAdd(Key, Latency);
  }

  std::shared_ptr<const series_map> all() const { return Map.snapshot(); }

private:
  using key_view = std::pair<std::string_view, std::string_view>;

  /** Counts one event.
      @returns false when the workspace and class have no series yet. */
  bool tryAdd(const key_view &Key, duration Latency) const {
    return Map.read([&](const series_map &Known) {
      const auto Found = Known.find(Key);
      if (Found == Known.end())
        return false;
      series &Series = *Found->second;
      Series.Histogram(std::chrono::duration<double>(Latency).count());
      Series.SumMicroseconds.fetch_add(
          static_cast<std::uint64_t>(Latency.count() / 1000),
          std::memory_order_relaxed);
      return true;
    });
  }

  /** Adds an empty series unless another thread has added it meanwhile. */
  void addSeries(const key_view &Key) {
    const std::lock_guard Lock(AddSeriesMutex);
    const auto Present = Map.snapshot();
    if (Present->contains(Key))
      return;
    auto Grown = std::make_shared<series_map>(*Present);
    Grown->emplace(series_key(Key.first, Key.second),
                   std::make_shared<series>());
    Map.publish(std::move(Grown));
  }

  rcu_cell<series_map> Map{std::make_shared<series_map>()};
  std::mutex AddSeriesMutex; // serializes publishers of Map
};

metrics::metrics() : Registry(std::make_unique<registry>()) {}

metrics::~metrics() = default;

void metrics::add(const workspace_name &Workspace, std::string_view Class,
                  duration Latency) {
  Registry->add(Workspace.view(), Class, Latency);
}

std::string metrics::prometheusText() const {
  std::string Text = "# HELP sesamepaddle_request_duration_seconds Time from a "
                     "request's last byte to its answer, by workspace and "
                     "class.\n# TYPE sesamepaddle_request_duration_seconds "
                     "histogram\n";
  for (const auto &[Key, Series] : *Registry->all())
    appendSeries(Text, Key, *Series);
  return Text;
}

std::string metrics::jsonSummary() const {
  std::string Text = "[";
  for (const auto &[Key, Series] : *Registry->all())
    absl::StrAppend(&Text, Text.size() > 1 ? "," : "",
                    "{\"workspace\":", jsonText(Key.first),
                    ",\"class\":", jsonText(Key.second),
                    ",\"count\":", countOf(*Series),
                    ",\"p50_ms\":", quantile(*Series, 0.5) * 1000,
                    ",\"p99_ms\":", quantile(*Series, 0.99) * 1000,
                    ",\"p999_ms\":", quantile(*Series, 0.999) * 1000, "}");
  return Text + "]";
}

} // namespace sesamepaddle
