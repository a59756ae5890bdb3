#ifndef SESAMEPADDLE_SETTINGS_VM_SETTINGS_H
#define SESAMEPADDLE_SETTINGS_VM_SETTINGS_H

#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/settings/yaml_reader.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

enum class log_level { Error, Warning, Info, Debug };
enum class log_layout { Text, Json };

/** The settings of one entry VM, read from its YAML file. Addresses are an IP
    address and a port. */
struct vm_settings {
  vm_name Name;
  region_name Region;
  failure_domain_name FailureDomain;

  std::string CallerAddress;  ///< where callers send requests
  std::string PeerAddress;    ///< where other VMs connect
  std::string ControlAddress; ///< where operators and tools send requests

  std::string PlatformAddress;
  std::chrono::milliseconds PlatformTimeout{0}; ///< for one request
  std::chrono::milliseconds PollInterval{0}; ///< between reads of the platform

  /** How long callers may cache the answer to a lookup of the VMs. */
  std::chrono::milliseconds LookupTimeToLive{0};
  /** How long a stopping VM waits for requests in progress. */
  std::chrono::milliseconds DrainLimit{0};
  std::size_t Workers = 0;     ///< threads that serve requests
  std::size_t HeaderBytes = 0; ///< largest accepted request header
  std::size_t BodyBytes = 0;   ///< largest accepted request body
  std::chrono::milliseconds HeaderTimeout{0}; ///< to receive a header
  std::string PeerSecretFile; ///< holds the secret shared by all VMs

  /** Millionths of every fleet-wide limit that the VMs of this failure domain
      own together. With 0, every limit is divided evenly among all VMs. */
  unsigned DomainParts = 0;

  log_level LogLevel = log_level::Info;
  log_layout LogLayout = log_layout::Text;
};

/** Parses the YAML settings in @p Text and adds every error found to @p Errors.
    @param File  the name to report errors under
    @returns the settings, or nothing when there was an error. */
std::optional<vm_settings> parseVmSettings(std::string_view Text,
                                           std::string_view File,
                                           yaml_errors &Errors);

} // namespace sesamepaddle

#endif
