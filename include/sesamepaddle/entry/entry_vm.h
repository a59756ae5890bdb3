#ifndef SESAMEPADDLE_ENTRY_ENTRY_VM_H
#define SESAMEPADDLE_ENTRY_ENTRY_VM_H

#include "absl/status/statusor.h"
#include "sesamepaddle/settings/vm_settings.h"

#include <memory>

namespace sesamepaddle {

/** How an entry VM stopped. */
enum class stop_result {
  Graceful,      ///< every request received was answered
  DrainTimedOut, ///< requests were still running at the drain limit
};

/** The process of one entry VM. */
class entry_vm {
public:
  /** Binds all addresses of @p Settings and starts to serve.
      @returns the VM, or the failure that prevented its start: an entry_failure
      or a failure of another module, such as net_failure. */
  static absl::StatusOr<std::unique_ptr<entry_vm>>
  start(const vm_settings &Settings);

  ~entry_vm();
  entry_vm(const entry_vm &) = delete;
  entry_vm &operator=(const entry_vm &) = delete;

  /** Starts a graceful shutdown: the VM removes itself from look-up answers,
      waits until earlier answers have expired, completes the running requests
      and stops. Returns at once. Idempotent. */
  void requestStop();

  /** Blocks until the VM has stopped. @returns how it stopped. */
  stop_result waitUntilStopped();

private:
  class implementation;
  explicit entry_vm(std::unique_ptr<implementation> Implementation);
  std::unique_ptr<implementation> Implementation;
};

} // namespace sesamepaddle

#endif
