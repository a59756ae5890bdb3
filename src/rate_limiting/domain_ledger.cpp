#include "sesamepaddle/rate_limiting/domain_ledger.h"

#include <algorithm>

namespace sesamepaddle {

share_parts domain_ledger::total() const {
  share_parts Sum = Free;
  for (const auto &[Name, Entry] : Entries)
    Sum += Entry.Parts;
  return Sum;
}

share_parts domain_ledger::fairPart() const {
  const std::size_t Count = std::max<std::size_t>(Entries.size(), 1);
  return total() / static_cast<share_parts>(Count);
}

void domain_ledger::release(const vm_name &Name) {
  const auto Entry = Entries.find(Name);
  if (Entry == Entries.end())
    return;
  Free += Entry->second.Parts;
  Entries.erase(Entry);
}

} // namespace sesamepaddle
