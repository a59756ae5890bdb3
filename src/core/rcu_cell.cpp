#include "sesamepaddle/core/rcu_cell.h"

// The 'bulletproof' flavor of liburcu registers each thread at its first read,
// so that threads started by a library can read as well.
#include <urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace sesamepaddle::detail {

namespace {

// The thread sanitizer does not see the barriers inside liburcu. These two
// functions tell it that the read sections for which waitForReaders() waits end
// before it returns. The variable only gives them a common address.
[[maybe_unused]] char GracePeriodOrder;

void annotateReaderDone() {
#if defined(__SANITIZE_THREAD__)
  __tsan_release(&GracePeriodOrder);
#endif
}

void annotateGracePeriodEnd() {
#if defined(__SANITIZE_THREAD__)
  __tsan_acquire(&GracePeriodOrder);
#endif
}

} // namespace

rcu_read_section::rcu_read_section() noexcept { urcu_bp_read_lock(); }

rcu_read_section::~rcu_read_section() {
  annotateReaderDone();
  urcu_bp_read_unlock();
}

void waitForReaders() noexcept {
  urcu_bp_synchronize_rcu();
  annotateGracePeriodEnd();
}

} // namespace sesamepaddle::detail
