#include "sesamepaddle/ingress/traffic_counter.h"

#include "sesamepaddle/core/text.h"

#include "absl/strings/str_cat.h"

#include <string_view>

namespace sesamepaddle {

namespace {

constexpr std::array<std::string_view, 5> KindNames = {
    "gossip", "tokens", "rows", "endpoint-request", "endpoint-answer"};
constexpr std::array<std::string_view, 4> DistanceNames = {
    "same-failure-domain", "same-region", "other-region", "unknown"};

} // namespace

void traffic_counter::add(traffic_kind Kind, traffic_distance Distance,
                          std::size_t Bytes) {
  auto &Total = Totals.at(static_cast<std::size_t>(Kind))
                    .at(static_cast<std::size_t>(Distance));
  Total.Bytes += Bytes;
  ++Total.Messages;
}

std::string traffic_counter::prometheusText() const {
  std::string Text;
  for (std::size_t Kind = 0; Kind < Kinds; ++Kind)
    for (std::size_t Distance = 0; Distance < Distances; ++Distance) {
      const auto &Total = Totals.at(Kind).at(Distance);
      if (Total.Messages == 0)
        continue;
      const auto Labels =
          absl::StrCat("{kind=\"", toAbsl(KindNames.at(Kind)), "\",distance=\"",
                       toAbsl(DistanceNames.at(Distance)), "\"} ");
      absl::StrAppend(&Text, "sesamepaddle_traffic_bytes", Labels, Total.Bytes,
                      "\nsesamepaddle_traffic_messages", Labels, Total.Messages,
                      "\n");
    }
  return Text;
}

} // namespace sesamepaddle
