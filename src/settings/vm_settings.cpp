#include "sesamepaddle/settings/vm_settings.h"

#include <array>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

// In the order of log_level.
constexpr std::array<std::string_view, 4> LevelNames = {"error", "warning",
                                                        "info", "debug"};
// In the order of log_layout.
constexpr std::array<std::string_view, 2> LayoutNames = {"text", "json"};

void readVm(yaml_reader Reader, vm_settings &Settings) {
  Settings.Name = vm_name(Reader.requiredName("name"));
  Settings.Region = region_name(Reader.requiredName("region"));
  Settings.FailureDomain =
      failure_domain_name(Reader.requiredName("failure_domain"));
  Settings.Workers =
      static_cast<std::size_t>(Reader.optionalInteger("workers", 2, 1, 256));
  Reader.finish();
}

void readAddresses(yaml_reader Reader, vm_settings &Settings) {
  Settings.CallerAddress = Reader.requiredAddress("callers");
  Settings.PeerAddress = Reader.requiredAddress("peers");
  Settings.ControlAddress = Reader.requiredAddress("control");
  const bool AreDifferent = Settings.CallerAddress != Settings.PeerAddress &&
                            Settings.CallerAddress != Settings.ControlAddress &&
                            Settings.PeerAddress != Settings.ControlAddress;
  if (!AreDifferent && !Settings.CallerAddress.empty() &&
      !Settings.ControlAddress.empty())
    Reader.report("control", "two of the addresses are the same",
                  "a different address for callers, peers and control");
  Reader.finish();
}

void readPlatform(yaml_reader Reader, vm_settings &Settings) {
  Settings.PlatformAddress = Reader.requiredAddress("address");
  Settings.PlatformTimeout = Reader.optionalDuration(
      "timeout", milliseconds(1'000), milliseconds(50), milliseconds(30'000));
  Settings.PollInterval =
      Reader.optionalDuration("poll_interval", milliseconds(1'000),
                              milliseconds(50), milliseconds(60'000));
  Reader.finish();
}

void readCallers(yaml_reader Reader, vm_settings &Settings) {
  Settings.LookupTimeToLive =
      Reader.optionalDuration("lookup_time_to_live", milliseconds(5'000),
                              milliseconds(100), milliseconds(3'600'000));
  Settings.DrainLimit =
      Reader.optionalDuration("drain_limit", milliseconds(30'000),
                              milliseconds(100), milliseconds(3'600'000));
  Settings.HeaderBytes =
      Reader.optionalBytes("header_limit", 16'384, 1'024, 1'048'576);
  Settings.BodyBytes =
      Reader.optionalBytes("body_limit", 1'048'576, 1'024, 1'073'741'824);
  Settings.HeaderTimeout =
      Reader.optionalDuration("header_timeout", milliseconds(10'000),
                              milliseconds(100), milliseconds(600'000));
  Reader.finish();
}

void readLimits(yaml_reader Reader, vm_settings &Settings) {
  constexpr std::int64_t MillionthsOfWhole = 1'000'000;
  Settings.DomainParts = static_cast<unsigned>(
      Reader.optionalInteger("domain_parts", 0, 0, MillionthsOfWhole));
  Reader.finish();
}

void readLogs(yaml_reader Reader, vm_settings &Settings) {
  Settings.LogLevel =
      static_cast<log_level>(Reader.optionalChoice("level", LevelNames, 2));
  Settings.LogLayout =
      static_cast<log_layout>(Reader.optionalChoice("layout", LayoutNames, 0));
  Reader.finish();
}

void readAll(yaml_reader &Reader, vm_settings &Settings) {
  readVm(Reader.mapping("vm", true), Settings);
  readAddresses(Reader.mapping("addresses", true), Settings);
  readPlatform(Reader.mapping("platform", true), Settings);
  readCallers(Reader.mapping("callers", false), Settings);
  readLimits(Reader.mapping("limits", false), Settings);
  readLogs(Reader.mapping("logs", false), Settings);
  Settings.PeerSecretFile = Reader.requiredText(
      "peer_secret_file", "a file that holds the secret shared by all VMs");
}

} // namespace

std::optional<vm_settings> parseVmSettings(std::string_view Text,
                                           std::string_view File,
                                           yaml_errors &Errors) {
  return readYamlFile<vm_settings>(Text, File, Errors, readAll);
}

} // namespace sesamepaddle
