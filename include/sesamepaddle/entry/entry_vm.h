#ifndef SESAMEPADDLE_ENTRY_ENTRY_VM_H
#define SESAMEPADDLE_ENTRY_ENTRY_VM_H

#include "absl/status/statusor.h"
#include "sesamepaddle/settings/vm_settings.h"

#include <memory>

namespace sesamepaddle {

/** How an entry VM ended. */
enum class stop_result {
  Graceful,      ///< every request that came in was answered
  DrainTimedOut, ///< the drain limit passed with requests still running
};

/** The process of one entry VM. */
class entry_vm {
public:
  /** Binds all addresses of @p Settings and starts to serve.
      @returns the VM, or the net_failure that kept it from starting. */
  static absl::StatusOr<std::unique_ptr<entry_vm>>
  start(const vm_settings &Settings);

  ~entry_vm();
  entry_vm(const entry_vm &) = delete;
  entry_vm &operator=(const entry_vm &) = delete;

  /** Asks the VM to leave: it is no longer named in look-ups, waits until their
      time to live has passed, finishes what runs and stops. Idempotent. */
  void requestStop();

  /** Blocks until the VM has stopped. */
  stop_result waitUntilStopped();

private:
  class implementation;
  explicit entry_vm(std::unique_ptr<implementation> Implementation);
  std::unique_ptr<implementation> Implementation;
};

} // namespace sesamepaddle

#endif
