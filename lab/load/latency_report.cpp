#include "load/latency_report.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace sesamepaddle {

namespace {

namespace bh = boost::histogram;

// 100 bins per decade from 10 us to 1000 s keep the error of a quantile below
// 2.4%.
constexpr unsigned HistogramBins = 800;
constexpr double MinLatencyMs = 1e-2;
constexpr double MaxLatencyMs = 1e6;

// Quantiles of the columns p50, p99 and p99.9.
constexpr std::array<double, 3> Quantiles = {0.5, 0.99, 0.999};

std::string quoteCsv(const std::string &Text) {
  if (Text.find_first_of(",\"\n") == std::string::npos)
    return Text;
  std::string Quoted = "\"";
  for (const char Character : Text) {
    if (Character == '"')
      Quoted += '"';
    Quoted += Character;
  }
  return Quoted + '"';
}

} // namespace

latency_report::series::series()
    : Histogram(bh::make_histogram_with(
          bh::dense_storage<double>(),
          axis(HistogramBins, MinLatencyMs, MaxLatencyMs))) {}

double latency_report::series::quantile(double Fraction) const {
  const double Wanted = Fraction * static_cast<double>(Count);
  double Seen = 0;
  for (auto &&Bin : bh::indexed(Histogram, bh::coverage::all)) {
    Seen += *Bin;
    if (Seen >= Wanted && Seen > 0)
      return std::min(Bin.bin().upper(), LargestMilliseconds);
  }
  return LargestMilliseconds;
}

void latency_report::add(const std::string &Sender, const std::string &Answer,
                         std::chrono::nanoseconds Latency) {
  const double Milliseconds =
      std::chrono::duration<double, std::milli>(Latency).count();
  series &Found = Series[{Sender, Answer}];
  Found.Histogram(Milliseconds);
  Found.Count += 1;
  Found.LargestMilliseconds = std::max(Found.LargestMilliseconds, Milliseconds);
}

std::uint64_t latency_report::count(const std::string &Answer) const {
  std::uint64_t Sum = 0;
  for (const auto &[Key, Found] : Series)
    Sum += Key.second == Answer ? Found.Count : 0;
  return Sum;
}

std::uint64_t latency_report::count() const {
  std::uint64_t Sum = 0;
  for (const auto &[Key, Found] : Series)
    Sum += Found.Count;
  return Sum;
}

void latency_report::printTable(std::ostream &Stream,
                                const std::string &SenderTitle) const {
  std::array<char, 256> Line{};
  std::snprintf(Line.data(), Line.size(), "%-24s %-28s %8s %10s %10s %10s %10s",
                SenderTitle.c_str(), "answer", "count", "p50 ms", "p99 ms",
                "p99.9 ms", "max ms");
  Stream << Line.data() << "\n";
  for (const auto &[Key, Found] : Series) {
    std::snprintf(Line.data(), Line.size(),
                  "%-24s %-28s %8llu %10.3f %10.3f %10.3f %10.3f",
                  Key.first.c_str(), Key.second.c_str(),
                  static_cast<unsigned long long>(Found.Count),
                  Found.quantile(Quantiles[0]), Found.quantile(Quantiles[1]),
                  Found.quantile(Quantiles[2]), Found.LargestMilliseconds);
    Stream << Line.data() << "\n";
  }
}

void latency_report::printCsv(std::ostream &Stream) const {
  Stream << "workspace,answer,count,p50_ms,p99_ms,p999_ms,max_ms\n";
  for (const auto &[Key, Found] : Series) {
    Stream << quoteCsv(Key.first) << "," << quoteCsv(Key.second) << ","
           << Found.Count;
    for (const double Fraction : Quantiles)
      Stream << "," << Found.quantile(Fraction);
    Stream << "," << Found.LargestMilliseconds << "\n";
  }
}

} // namespace sesamepaddle
