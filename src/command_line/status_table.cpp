#include "command_line/status_table.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

namespace sesamepaddle {

namespace {

// An ordered type keeps the order of the sections in the reply.
using json = nlohmann::ordered_json;

// Blanks between columns, and characters for the label of a single value.
constexpr std::size_t ColumnGap = 2;
constexpr std::size_t LabelWidth = 20;

/** @returns @p Value with four significant digits. */
std::string formatNumber(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.4g", Value);
  return Text.data();
}

std::string formatCell(const json &Value) {
  if (Value.is_null())
    return "-";
  if (Value.is_boolean())
    return Value.get<bool>() ? "yes" : "no";
  if (Value.is_number_float())
    return formatNumber(Value.get<double>());
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

/** @returns the keys of all objects in @p List, each once, in their order. */
std::vector<std::string> columnsOf(const json &List) {
  std::vector<std::string> Columns;
  for (const auto &Row : List)
    for (const auto &[Key, Value] : Row.items())
      if (std::ranges::find(Columns, Key) == Columns.end())
        Columns.push_back(Key);
  return Columns;
}

using text_row = std::vector<std::string>;

/** @returns a header row and a row for each object in @p List. */
std::vector<text_row> makeRows(const json &List) {
  const auto Columns = columnsOf(List);
  std::vector<text_row> Rows = {Columns};
  for (const auto &Entry : List) {
    text_row Row;
    for (const auto &Column : Columns)
      Row.push_back(Entry.contains(Column) ? formatCell(Entry[Column]) : "-");
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

/** Appends @p Rows with aligned columns. */
void appendTable(std::string &Text, const std::vector<text_row> &Rows) {
  std::vector<std::size_t> Widths(Rows.front().size(), 0);
  for (const auto &Row : Rows)
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      Widths[Index] = std::max(Widths[Index], Row[Index].size());
  for (const auto &Row : Rows) {
    std::string Line = "  ";
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      absl::StrAppend(
          &Line, Row[Index],
          std::string(Widths[Index] - Row[Index].size() + ColumnGap, ' '));
    Line.erase(Line.find_last_not_of(' ') + 1);
    absl::StrAppend(&Text, Line, "\n");
  }
}

/** @returns true for a non-empty array of objects. */
bool isTable(const json &Value) {
  return Value.is_array() && !Value.empty() &&
         std::ranges::all_of(Value,
                             [](const json &Row) { return Row.is_object(); });
}

void appendValue(std::string &Text, const std::string &Key, const json &Value) {
  std::string Label = Key;
  Label.resize(std::max(LabelWidth, Label.size() + ColumnGap), ' ');
  const bool IsEmptyList = Value.is_array() && Value.empty();
  absl::StrAppend(&Text, Label, IsEmptyList ? "none" : formatCell(Value), "\n");
}

} // namespace

std::optional<std::string> formatStatusTable(std::string_view StatusJson) {
  const json Status = json::parse(StatusJson, nullptr, false);
  if (!Status.is_object())
    return std::nullopt;
  std::string Text;
  for (const auto &[Key, Value] : Status.items())
    if (!isTable(Value) && !Value.is_object())
      appendValue(Text, Key, Value);
  for (const auto &[Key, Value] : Status.items()) {
    // An object is shown as a table of one row.
    const json List = Value.is_object() ? json::array({Value}) : Value;
    if (!isTable(List))
      continue;
    absl::StrAppend(&Text, "\n", Key, "\n");
    appendTable(Text, makeRows(List));
  }
  return Text;
}

} // namespace sesamepaddle
