#ifndef SESAMEPADDLE_RATE_LIMITING_DOMAIN_LEDGER_H
#define SESAMEPADDLE_RATE_LIMITING_DOMAIN_LEDGER_H

#include "sesamepaddle/rate_limiting/share_types.h"

#include <map>

namespace sesamepaddle {

/** The ledger's record of what one VM owns. */
struct ledger_entry {
  incarnation Owner{};
  /** Incremented when the same process registers again after a pause longer
      than share_timing::PauseLimit. */
  std::uint32_t Registration = 0;
  share_parts Parts = 0;

  friend bool operator==(const ledger_entry &, const ledger_entry &) = default;
};

/** Assigns the parts of one failure domain to its VMs; stored as one row of the
    platform's table.

    The sum of all entries and the free parts never changes, so that faults in
    one failure domain don't affect the parts of the others.
*/
struct domain_ledger {
  std::map<vm_name, ledger_entry> Entries;
  share_parts Free = 0; ///< owned by no VM

  /** @returns the sum of all entries and the free parts. */
  share_parts total() const;

  /** @returns the parts that each entry gets under an even division. */
  share_parts fairPart() const;

  /** Removes the entry of @p Name and adds its parts to the free ones. */
  void release(const vm_name &Name);

  friend bool operator==(const domain_ledger &,
                         const domain_ledger &) = default;
};

} // namespace sesamepaddle

#endif
