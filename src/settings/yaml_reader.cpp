#include "sesamepaddle/settings/yaml_reader.h"

#include "sesamepaddle/core/text.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace sesamepaddle {

std::string yaml_error::describe() const {
  std::string Text = absl::StrCat(File, ":", Line, ": ", Message);
  if (!Accepted.empty())
    absl::StrAppend(&Text, "; accepted: ", Accepted);
  return Text;
}

yaml_reader::yaml_reader(const YAML::Node &Mapping, std::string File,
                         yaml_errors &Errors, std::string Path)
    : Mapping(Mapping), File(std::move(File)), Errors(&Errors),
      Path(std::move(Path)) {}

std::string yaml_reader::requiredText(std::string_view Key,
                                      std::string_view Accepted) {
  const auto Text = readText(Key);
  if (!Text || Text->empty())
    report(Key, absl::StrCat("'", pathOf(Key), "' is missing"),
           std::string(Accepted));
  return Text.value_or("");
}

std::string yaml_reader::requiredMatching(std::string_view Key,
                                          bool (*IsValid)(std::string_view),
                                          std::string_view Accepted) {
  std::string Text = requiredText(Key, Accepted);
  if (!Text.empty() && !IsValid(Text))
    report(Key, absl::StrCat("'", pathOf(Key), "' can't be '", Text, "'"),
           std::string(Accepted));
  return Text;
}

std::string yaml_reader::requiredAddress(std::string_view Key) {
  return requiredMatching(Key, isSocketAddress,
                          "an IP address and a port, such as 127.0.0.1:8080");
}

std::string yaml_reader::requiredName(std::string_view Key) {
  return requiredMatching(
      Key, isName, "a name of up to 64 letters, digits, '-', '_' and '.'");
}

std::string yaml_reader::optionalText(std::string_view Key,
                                      std::string_view Default) {
  return readText(Key).value_or(std::string(Default));
}

template <typename Parse>
auto yaml_reader::parsed(std::string_view Key, Parse Parser,
                         std::string_view Accepted)
    -> decltype(Parser(std::string_view())) {
  const auto Text = readText(Key);
  if (!Text)
    return std::nullopt;
  const auto Value = Parser(*Text);
  if (!Value)
    report(Key, absl::StrCat("'", pathOf(Key), "' can't be '", *Text, "'"),
           std::string(Accepted));
  return Value;
}

bool yaml_reader::optionalFlag(std::string_view Key, bool Default) {
  const auto Parse = [](std::string_view Text) -> std::optional<bool> {
    if (Text == "true")
      return true;
    if (Text == "false")
      return false;
    return std::nullopt;
  };
  return parsed(Key, Parse, "true, false").value_or(Default);
}

double yaml_reader::requiredNumber(std::string_view Key, double Minimum,
                                   double Maximum) {
  const std::string Accepted =
      absl::StrCat("a number from ", Minimum, " to ", Maximum);
  const auto Parse = [&](std::string_view Text) -> std::optional<double> {
    double Value = 0;
    const bool IsInRange = absl::SimpleAtod(toAbsl(Text), &Value) &&
                           Value >= Minimum && Value <= Maximum;
    return IsInRange ? std::optional(Value) : std::nullopt;
  };
  if (!has(Key))
    report(Key, absl::StrCat("'", pathOf(Key), "' is missing"), Accepted);
  return parsed(Key, Parse, Accepted).value_or(Minimum);
}

double yaml_reader::optionalNumber(std::string_view Key, double Default,
                                   double Minimum, double Maximum) {
  return has(Key) ? requiredNumber(Key, Minimum, Maximum) : Default;
}

std::int64_t yaml_reader::optionalInteger(std::string_view Key,
                                          std::int64_t Default,
                                          std::int64_t Minimum,
                                          std::int64_t Maximum) {
  const auto Parse = [&](std::string_view Text) -> std::optional<std::int64_t> {
    std::int64_t Value = 0;
    const bool IsInRange = absl::SimpleAtoi(toAbsl(Text), &Value) &&
                           Value >= Minimum && Value <= Maximum;
    return IsInRange ? std::optional(Value) : std::nullopt;
  };
  return parsed(Key, Parse,
                absl::StrCat("a whole number from ", Minimum, " to ", Maximum))
      .value_or(Default);
}

double yaml_reader::requiredRate(std::string_view Key) {
  constexpr std::string_view Accepted = "a rate such as 50/s";
  if (!has(Key))
    report(Key, absl::StrCat("'", pathOf(Key), "' is missing"),
           std::string(Accepted));
  return parsed(Key, parseRate, Accepted).value_or(0);
}

double yaml_reader::optionalPercent(std::string_view Key, double Default) {
  const auto Parse = [](std::string_view Text) -> std::optional<double> {
    const auto Value = parsePercent(Text);
    return Value && *Value <= 1 ? Value : std::nullopt;
  };
  return parsed(Key, Parse, "a percentage from 0% to 100%").value_or(Default);
}

std::chrono::milliseconds yaml_reader::optionalDuration(
    std::string_view Key, std::chrono::milliseconds Default,
    std::chrono::milliseconds Minimum, std::chrono::milliseconds Maximum) {
  const auto Parse = [&](std::string_view Text) {
    const auto Value = parseDuration(Text);
    return Value && *Value >= Minimum && *Value <= Maximum ? Value
                                                           : std::nullopt;
  };
  return parsed(Key, Parse,
                absl::StrCat("a duration from ", formatDuration(Minimum),
                             " to ", formatDuration(Maximum)))
      .value_or(Default);
}

std::uint64_t yaml_reader::optionalBytes(std::string_view Key,
                                         std::uint64_t Default,
                                         std::uint64_t Minimum,
                                         std::uint64_t Maximum) {
  const auto Parse = [&](std::string_view Text) {
    const auto Value = parseBytes(Text);
    return Value && *Value >= Minimum && *Value <= Maximum ? Value
                                                           : std::nullopt;
  };
  return parsed(Key, Parse,
                absl::StrCat("a size from ", Minimum, "B to ", Maximum,
                             "B, also with KiB, MiB or GiB"))
      .value_or(Default);
}

std::size_t
yaml_reader::optionalChoice(std::string_view Key,
                            std::span<const std::string_view> Choices,
                            std::size_t Default) {
  const auto Parse = [&](std::string_view Text) -> std::optional<std::size_t> {
    for (std::size_t Index = 0; Index < Choices.size(); ++Index)
      if (Choices[Index] == Text)
        return Index;
    return std::nullopt;
  };
  std::vector<absl::string_view> Names;
  for (const auto Choice : Choices)
    Names.push_back(toAbsl(Choice));
  return parsed(Key, Parse, absl::StrJoin(Names, ", ")).value_or(Default);
}

std::vector<std::string> yaml_reader::optionalTexts(std::string_view Key) {
  std::vector<std::string> Texts;
  const YAML::Node List = readNode(Key);
  if (!List || List.IsNull())
    return Texts;
  if (!List.IsSequence()) {
    report(Key, absl::StrCat("'", pathOf(Key), "' is not a list"),
           "a list of strings");
    return Texts;
  }
  for (const auto &Entry : List) {
    if (Entry.IsScalar())
      Texts.push_back(Entry.Scalar());
    else
      report(Key,
             absl::StrCat("'", pathOf(Key),
                          "' contains an entry that is not a string"),
             "a list of strings");
  }
  return Texts;
}

yaml_reader yaml_reader::mapping(std::string_view Key, bool IsRequired) {
  const YAML::Node Child = readNode(Key);
  const bool IsMissing = !Child || Child.IsNull();
  if (IsMissing && IsRequired)
    report(Key, absl::StrCat("'", pathOf(Key), "' is missing"), "a mapping");
  if (!IsMissing && !Child.IsMap())
    report(Key, absl::StrCat("'", pathOf(Key), "' is not a mapping"),
           "a mapping");
  // An undefined node can't be assigned to the reader's mapping.
  const bool IsUsable = !IsMissing && Child.IsMap();
  return {IsUsable ? Child : YAML::Node(YAML::NodeType::Map), File, *Errors,
          pathOf(Key)};
}

std::vector<yaml_reader> yaml_reader::mappings(std::string_view Key,
                                               bool IsRequired) {
  std::vector<yaml_reader> Readers;
  const YAML::Node List = readNode(Key);
  const bool IsMissing = !List || List.IsNull();
  if (IsMissing && IsRequired)
    report(Key, absl::StrCat("'", pathOf(Key), "' is missing"),
           "a list of mappings");
  if (IsMissing)
    return Readers;
  if (!List.IsSequence()) {
    report(Key, absl::StrCat("'", pathOf(Key), "' is not a list"),
           "a list of mappings");
    return Readers;
  }
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    const std::string EntryPath = absl::StrCat(pathOf(Key), "[", Index, "]");
    if (List[Index].IsMap())
      Readers.emplace_back(List[Index], File, *Errors, EntryPath);
    else
      Errors->push_back({File, List[Index].Mark().line + 1,
                         absl::StrCat("'", EntryPath, "' is not a mapping"),
                         "a mapping"});
  }
  return Readers;
}

void yaml_reader::report(std::string_view Key, std::string Message,
                         std::string Accepted) {
  Errors->push_back(
      {File, lineOf(Key), std::move(Message), std::move(Accepted)});
}

void yaml_reader::finish() {
  const std::string Accepted = absl::StrJoin(RequestedKeys, ", ");
  std::set<std::string> Seen;
  for (const auto &Entry : Mapping) {
    const std::string Key =
        Entry.first.IsScalar() ? Entry.first.Scalar() : "(not a string)";
    const int Line = Entry.first.Mark().line + 1;
    if (!RequestedKeys.contains(Key))
      Errors->push_back({File, Line,
                         absl::StrCat("unknown key '", pathOf(Key), "'"),
                         Accepted});
    if (!Seen.insert(Key).second)
      Errors->push_back({File, Line,
                         absl::StrCat("key '", pathOf(Key), "' occurs twice"),
                         "each key once"});
  }
}

bool yaml_reader::has(std::string_view Key) const {
  const YAML::Node Value = Mapping[std::string(Key)];
  return Value && !Value.IsNull();
}

bool yaml_reader::hasAny(std::initializer_list<std::string_view> Keys) {
  bool HasAny = false;
  for (const auto Key : Keys) {
    RequestedKeys.insert(std::string(Key));
    HasAny = HasAny || has(Key);
  }
  return HasAny;
}

YAML::Node yaml_reader::readNode(std::string_view Key) {
  RequestedKeys.insert(std::string(Key));
  // The subscript of a node that is not const would add the key.
  const YAML::Node &ConstMapping = Mapping;
  return ConstMapping[std::string(Key)];
}

std::optional<std::string> yaml_reader::readText(std::string_view Key) {
  const YAML::Node Value = readNode(Key);
  if (!Value || Value.IsNull())
    return std::nullopt;
  if (Value.IsScalar())
    return Value.Scalar();
  report(Key, absl::StrCat("'", pathOf(Key), "' is not a single value"),
         "a single value");
  return std::nullopt;
}

int yaml_reader::lineOf(std::string_view Key) const {
  const YAML::Node Value = Mapping[std::string(Key)];
  const auto Mark = Value ? Value.Mark() : Mapping.Mark();
  return Mark.line + 1;
}

std::string yaml_reader::pathOf(std::string_view Key) const {
  return Path.empty() ? std::string(Key) : absl::StrCat(Path, ".", toAbsl(Key));
}

std::optional<YAML::Node> parseYamlMapping(std::string_view Text,
                                           std::string_view File,
                                           yaml_errors &Errors) {
  try {
    YAML::Node Root = YAML::Load(std::string(Text));
    if (Root.IsMap())
      return Root;
    Errors.push_back(
        {std::string(File), 1, "the file is not a mapping", "a mapping"});
  } catch (const YAML::Exception &Error) {
    Errors.push_back({std::string(File), Error.mark.line + 1,
                      "not YAML: " + Error.msg, "YAML"});
  }
  return std::nullopt;
}

} // namespace sesamepaddle
