#include "sesamepaddle/load_balancing/choice_counts.h"

namespace sesamepaddle {

std::string choice_counts::prometheusText() const {
  std::string Text;
  const auto Add = [&Text](std::string_view Metric, std::string_view Label,
                           std::string_view Value, std::uint64_t Count) {
    Text.append(Metric).append("{").append(Label).append("=\"").append(Value);
    Text.append("\"} ").append(std::to_string(Count)).append("\n");
  };
  for (std::size_t Index = 0; Index < Reasons.size(); ++Index)
    Add("sesamepaddle_endpoint_choices", "reason",
        nameOf(static_cast<choice_reason>(Index)), Reasons.at(Index));
  for (std::size_t Index = 0; Index < Distances.size(); ++Index)
    Add("sesamepaddle_endpoint_distances", "distance",
        nameOf(static_cast<endpoint_distance>(Index)), Distances.at(Index));
  return Text;
}

} // namespace sesamepaddle
