#ifndef SESAMEPADDLE_TESTS_PROCESS_TEST_BED_H
#define SESAMEPADDLE_TESTS_PROCESS_TEST_BED_H

#include "process/child_process.h"
#include "sesamepaddle/net/http_message.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Sends one request over a new connection and waits for the answer. */
absl::StatusOr<http_reply> sendRequest(const std::string &Address,
                                       http_request Request,
                                       int TimeoutMilliseconds = 10'000);

/** Calls @p Condition repeatedly until it holds, for at most 20 s.
    @returns true when it held. */
bool eventually(const std::function<bool()> &Condition);

/** One entry VM of the test bed; addresses are "ip:port". */
struct bed_vm {
  std::string Name;
  std::string FailureDomain;
  std::string CallerAddress;
  std::string PeerAddress;
  std::string ControlAddress;
  std::string SettingsFile;
  std::unique_ptr<child_process> Process;
};

/** A complete system of processes on loopback addresses.

    It has two entry VMs in each of two failure domains, the services pedidos
   and catalogo with one endpoint in each domain, and a stand-in for the
   platform. The constructor, putDocumentsInForce() and setPlatformFaults()
   throw std::runtime_error when a part of the system fails.
*/
class test_bed {
public:
  /** Starts all processes.
      @param ExtraSettings  YAML that is added to the settings of each VM */
  explicit test_bed(std::string ExtraSettings = {});

  /** Proposes and signs the documents of both services and waits until they are
      in force on all VMs and the workspace's token bucket is full. */
  void putDocumentsInForce();

  /** Writes a service's document. @returns its path.
      @param Extra  YAML that is added at the end */
  std::string writeDocument(const std::string &Service,
                            const std::string &Extra = {}) const;

  /** Proposes a document as the first owner and signs it as the second.
      @returns the exit code of the command that failed, or 0. */
  int approve(const std::string &Service, const std::string &File) const;

  /** Starts a VM's process, replacing an earlier one. */
  void startVm(bed_vm &Vm) const;

  /** @returns true when document @p Number of the service is in force on the
      VM. */
  static bool isInForce(const bed_vm &Vm, const std::string &Service,
                        unsigned Number);

  /** Sets the faults of the platform's stand-in.
      @param Json  the body of its POST /faults; "{}" ends all faults */
  void setPlatformFaults(const std::string &Json) const;

  scratch_folder Folder;
  std::string PlatformAddress;
  std::vector<bed_vm> Vms;
  std::unique_ptr<child_process> Platform;
  std::vector<std::unique_ptr<child_process>> Upstreams;
  /** Endpoints of pedidos in lima-a and lima-b, then those of catalogo. */
  std::vector<std::string> UpstreamAddresses;
  std::string ExtraEndpoints; ///< YAML, appended to catalogo's endpoints

private:
  void makeOwners();
  void startUpstreams();
  void writeSettings(bed_vm &Vm) const;

  std::string ExtraSettings;
  std::vector<std::string> OwnerPublicKeys;
};

/** The API key of the workspace "bakery" in the test bed's documents. */
extern const std::string BedKey;

} // namespace sesamepaddle

#endif
