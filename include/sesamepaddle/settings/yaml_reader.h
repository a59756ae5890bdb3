#ifndef SESAMEPADDLE_SETTINGS_YAML_READER_H
#define SESAMEPADDLE_SETTINGS_YAML_READER_H

#include "sesamepaddle/settings/units.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** One mistake in a YAML file. */
struct yaml_error {
  std::string File;
  int Line = 0; ///< counted from 1
  std::string Message;
  std::string Accepted; ///< what would have been accepted

  /** @returns "file:line: message; accepted: ...". */
  std::string describe() const;
};

using yaml_errors = std::vector<yaml_error>;

/** Reads one mapping of a YAML file and collects every mistake in it.

    A value that is missing or wrong is reported once and read as its default,
    so that the rest of the file is still checked. finish() reports the keys
    that nobody asked for.
*/
class yaml_reader {
public:
  yaml_reader(const YAML::Node &Mapping, std::string File, yaml_errors &Errors,
              std::string Path = {});

  std::string requiredText(std::string_view Key, std::string_view Accepted);
  /** Reads an IP number and a port, such as 127.0.0.1:8080. */
  std::string requiredAddress(std::string_view Key);
  /** Reads the name of a VM, a region or a failure domain. */
  std::string requiredName(std::string_view Key);
  std::string optionalText(std::string_view Key, std::string_view Default);
  bool optionalFlag(std::string_view Key, bool Default);
  double requiredNumber(std::string_view Key, double Minimum, double Maximum);
  std::int64_t optionalInteger(std::string_view Key, std::int64_t Default,
                               std::int64_t Minimum, std::int64_t Maximum);
  double requiredRate(std::string_view Key);
  double optionalPercent(std::string_view Key, double Default);
  std::chrono::milliseconds optionalDuration(std::string_view Key,
                                             std::chrono::milliseconds Default,
                                             std::chrono::milliseconds Minimum,
                                             std::chrono::milliseconds Maximum);
  std::uint64_t optionalBytes(std::string_view Key, std::uint64_t Default,
                              std::uint64_t Minimum, std::uint64_t Maximum);
  /** @returns the index in @p Choices of the value, or @p Default. */
  std::size_t optionalChoice(std::string_view Key,
                             std::span<const std::string_view> Choices,
                             std::size_t Default);
  std::vector<std::string> optionalTexts(std::string_view Key);

  /** @returns a reader of the mapping under @p Key; an empty one when it is
      missing, which is an error if @p IsRequired. */
  yaml_reader mapping(std::string_view Key, bool IsRequired);

  /** @returns readers of the mappings in the list under @p Key. */
  std::vector<yaml_reader> mappings(std::string_view Key, bool IsRequired);

  /** Reports @p Message at the line of @p Key. */
  void report(std::string_view Key, std::string Message, std::string Accepted);

  /** Reports the keys that were not read. */
  void finish();

  bool has(std::string_view Key) const;

private:
  YAML::Node readNode(std::string_view Key);
  std::optional<std::string> readText(std::string_view Key);
  std::string requiredMatching(std::string_view Key,
                               bool (*IsValid)(std::string_view),
                               std::string_view Accepted);
  template <typename Parse>
  auto parsed(std::string_view Key, Parse Parser, std::string_view Accepted)
      -> decltype(Parser(std::string_view()));
  int lineOf(std::string_view Key) const;
  std::string pathOf(std::string_view Key) const;

  YAML::Node Mapping;
  std::string File;
  yaml_errors *Errors;
  std::string Path;
  std::set<std::string, std::less<>> RequestedKeys;
};

/** Parses @p Text as one YAML mapping; a syntax error goes to @p Errors.
    @returns the mapping, or nothing. */
std::optional<YAML::Node> parseYamlMapping(std::string_view Text,
                                           std::string_view File,
                                           yaml_errors &Errors);

/** Reads a whole file into a new @p Value; every mistake goes to @p Errors.
    @param Fill  called with a reader of the file's mapping and the value
    @returns the value, or nothing when there was a mistake. */
template <typename Value, typename Function>
std::optional<Value> readYamlFile(std::string_view Text, std::string_view File,
                                  yaml_errors &Errors, Function Fill) {
  const std::size_t ErrorsBefore = Errors.size();
  const auto Root = parseYamlMapping(Text, File, Errors);
  if (!Root)
    return std::nullopt;
  Value Filled;
  yaml_reader Reader(*Root, std::string(File), Errors);
  Fill(Reader, Filled);
  Reader.finish();
  if (Errors.size() > ErrorsBefore)
    return std::nullopt;
  return Filled;
}

} // namespace sesamepaddle

#endif
