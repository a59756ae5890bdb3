#include "command_line/command.h"
#include "sesamepaddle/documents/service_document.h"
#include "sesamepaddle/settings/vm_settings.h"

#include <iostream>

namespace sesamepaddle {

namespace {

constexpr std::string_view Manual =
    R"(Validates VM settings, a service document or both, and prints every error as

  FILE:LINE: what is wrong; accepted: the valid values

Nothing is started or changed.

Exit codes: 0 no errors, 2 no file given, 3 errors were found or a file can't be
read.
)";

/** Reads the file named by option @p Name, if given, and passes its text and
    path to @p Checker.
    @returns false when the file can't be read. */
template <typename Check>
bool checkFile(const option_values &Values, std::string_view Name,
               Check Checker) {
  const auto Found = Values.find(Name);
  if (Found == Values.end())
    return true;
  const auto Text = readFile(Found->second);
  if (Text)
    Checker(*Text, Found->second);
  return Text.has_value();
}

exit_code check(const option_values &Values) {
  if (Values.empty()) {
    std::cerr << "sesamepaddle: nothing to check; see sesamepaddle check "
                 "--help\n";
    return exit_code::Usage;
  }
  yaml_errors Errors;
  const bool AreSettingsRead =
      checkFile(Values, "settings",
                [&](const std::string &Text, const std::string &Path) {
                  parseVmSettings(Text, Path, Errors);
                });
  const bool IsDocumentRead =
      checkFile(Values, "document",
                [&](const std::string &Text, const std::string &Path) {
                  parseServiceDocument(Text, Path, Errors);
                });
  for (const auto &Error : Errors)
    std::cerr << Error.describe() << "\n";
  if (!AreSettingsRead || !IsDocumentRead || !Errors.empty())
    return exit_code::InvalidInput;
  std::cout << "no errors\n";
  return exit_code::Success;
}

} // namespace

command makeCheckCommand() {
  return {"check",
          "check settings and service documents",
          Manual,
          {{"settings", "FILE", "a VM's settings in YAML", false},
           {"document", "FILE", "a service document in YAML", false}},
          check};
}

} // namespace sesamepaddle
