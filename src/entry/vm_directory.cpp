#include "entry/vm_directory.h"

#include <algorithm>
#include <utility>

namespace sesamepaddle {

vm_directory::vm_directory(entry_candidate Self)
    : Self(std::move(Self)),
      Vms(std::make_shared<std::vector<entry_candidate>>(1, this->Self)) {}

void vm_directory::update(std::vector<entry_candidate> Others) {
  auto Next = std::make_shared<std::vector<entry_candidate>>(1, Self);
  Next->front().IsLeaving = Leaving.load();
  for (auto &Other : Others)
    if (Other.Name != Self.Name)
      Next->push_back(std::move(Other));
  if (*Next == *all())
    return;
  Vms.publish(std::move(Next));
  if (Changed)
    Changed();
}

void vm_directory::markLeaving() {
  Leaving.store(true);
  auto Next = std::make_shared<std::vector<entry_candidate>>(*all());
  Next->front().IsLeaving = true;
  Vms.publish(std::move(Next));
  if (Changed)
    Changed();
}

std::shared_ptr<const std::vector<entry_candidate>> vm_directory::all() const {
  return Vms.snapshot();
}

std::optional<std::string>
vm_directory::findCallerAddress(const vm_name &Name) const {
  const auto Known = all();
  const auto Found = std::ranges::find(*Known, Name, &entry_candidate::Name);
  if (Found == Known->end())
    return std::nullopt;
  return Found->CallerAddress;
}

} // namespace sesamepaddle
