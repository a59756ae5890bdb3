#ifndef SESAMEPADDLE_ENTRY_VM_DIRECTORY_H
#define SESAMEPADDLE_ENTRY_VM_DIRECTORY_H

#include "sesamepaddle/core/rcu_cell.h"
#include "sesamepaddle/steering/lookup.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sesamepaddle {

/** The entry VMs that this VM knows, including itself. Readers take no lock. */
class vm_directory {
public:
  explicit vm_directory(entry_candidate Self);

  /** Replaces the other VMs; an entry for this VM is ignored. */
  void update(std::vector<entry_candidate> Others);

  /** Marks this VM as leaving, so that look-ups no longer name it. */
  void markLeaving();

  bool isLeaving() const { return Leaving.load(); }

  /** @returns all VMs, this one first. */
  std::shared_ptr<const std::vector<entry_candidate>> all() const;

  /** Called after each change, on the thread that made it. Must be set before
      the first change. */
  std::function<void()> Changed;

  /** @returns the caller address of the VM with that name, if known. */
  std::optional<std::string> findCallerAddress(const vm_name &Name) const;

private:
  entry_candidate Self;
  std::atomic<bool> Leaving{false};
  rcu_cell<std::vector<entry_candidate>> Vms;
};

} // namespace sesamepaddle

#endif
