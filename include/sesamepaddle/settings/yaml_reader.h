#ifndef SESAMEPADDLE_SETTINGS_YAML_READER_H
#define SESAMEPADDLE_SETTINGS_YAML_READER_H

#include "sesamepaddle/settings/units.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <initializer_list>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** One error in a YAML file. */
struct yaml_error {
  std::string File;
  int Line = 0; ///< counted from 1
  std::string Message;
  std::string Accepted; ///< describes the values that are accepted

  /** @returns "file:line: message; accepted: ...". */
  std::string describe() const;
};

using yaml_errors = std::vector<yaml_error>;

/** Reads the values of one mapping in a YAML file and collects every error.

    A missing or invalid value is replaced by its default, so that the rest of
    the file is still checked. It is reported, unless it is optional and
    missing. Required values have no default: a number becomes its minimum, a
    rate 0, a missing string is empty and an invalid one stays as it is.
    finish() reports the keys that were never read.

    Key names a key of the mapping. Values outside Minimum and Maximum, both
    inclusive, are errors. Accepted describes the accepted values to the user.
*/
class yaml_reader {
public:
  /** @param File  the name to report errors under
      @param Path  the mapping's place in the file, such as "versions[0]",
                   or empty for the file's top level */
  yaml_reader(const YAML::Node &Mapping, std::string File, yaml_errors &Errors,
              std::string Path = {});

  std::string requiredText(std::string_view Key, std::string_view Accepted);
  /** Reads an IP address and a port, such as 127.0.0.1:8080. */
  std::string requiredAddress(std::string_view Key);
  /** Reads the name of a VM, a region or a failure domain. */
  std::string requiredName(std::string_view Key);
  std::string optionalText(std::string_view Key, std::string_view Default);
  bool optionalFlag(std::string_view Key, bool Default);
  double requiredNumber(std::string_view Key, double Minimum, double Maximum);
  double optionalNumber(std::string_view Key, double Default, double Minimum,
                        double Maximum);
  std::int64_t optionalInteger(std::string_view Key, std::int64_t Default,
                               std::int64_t Minimum, std::int64_t Maximum);
  /** Reads a rate such as 50/s. @returns events per second. */
  double requiredRate(std::string_view Key);
  /** Reads a percentage from 0% to 100%. @returns it as a fraction. */
  double optionalPercent(std::string_view Key, double Default);
  std::chrono::milliseconds optionalDuration(std::string_view Key,
                                             std::chrono::milliseconds Default,
                                             std::chrono::milliseconds Minimum,
                                             std::chrono::milliseconds Maximum);
  std::uint64_t optionalBytes(std::string_view Key, std::uint64_t Default,
                              std::uint64_t Minimum, std::uint64_t Maximum);
  /** @returns the index of the value in @p Choices, or @p Default. */
  std::size_t optionalChoice(std::string_view Key,
                             std::span<const std::string_view> Choices,
                             std::size_t Default);
  /** Reads a list of strings; a missing one is empty. */
  std::vector<std::string> optionalTexts(std::string_view Key);

  /** @returns a reader of the mapping under @p Key, or of an empty mapping when
      it is missing, which is an error if @p IsRequired. */
  yaml_reader mapping(std::string_view Key, bool IsRequired);

  /** @returns a reader for each mapping in the list under @p Key. A missing
      list is an error if @p IsRequired. */
  std::vector<yaml_reader> mappings(std::string_view Key, bool IsRequired);

  /** Adds an error at the line of @p Key. */
  void report(std::string_view Key, std::string Message, std::string Accepted);

  /** Reports the keys that were never read and those that occur twice. */
  void finish();

  /** @returns whether @p Key is present and not null. */
  bool has(std::string_view Key) const;

  /** @returns whether any of @p Keys is present and not null. All of them count
      as read for finish(). */
  bool hasAny(std::initializer_list<std::string_view> Keys);

private:
  YAML::Node readNode(std::string_view Key);
  std::optional<std::string> readText(std::string_view Key);
  /** Reads a required string and reports it when @p IsValid rejects it. */
  std::string requiredMatching(std::string_view Key,
                               bool (*IsValid)(std::string_view),
                               std::string_view Accepted);
  /** Parses an optional value and reports it when @p Parser rejects it.
      @returns the parsed value, or nothing when it is missing or rejected. */
  template <typename Parse>
  auto parsed(std::string_view Key, Parse Parser, std::string_view Accepted)
      -> decltype(Parser(std::string_view()));
  int lineOf(std::string_view Key) const;
  std::string pathOf(std::string_view Key) const;

  YAML::Node Mapping;
  std::string File;
  yaml_errors *Errors;
  std::string Path;
  std::set<std::string, std::less<>> RequestedKeys; ///< for finish()
};

/** Parses @p Text as one YAML mapping.
    @returns the mapping, or nothing, with the error added to @p Errors. */
std::optional<YAML::Node> parseYamlMapping(std::string_view Text,
                                           std::string_view File,
                                           yaml_errors &Errors);

/** Reads a YAML file's @p Text into a new Value and adds every error found to
    @p Errors.
    @param File  the name to report errors under
    @param Fill  called with a reader of the file's mapping and the new value
    @returns the value, or nothing when there was an error. */
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
