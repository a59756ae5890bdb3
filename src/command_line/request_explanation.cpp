#include "command_line/request_explanation.h"

#include "sesamepaddle/core/text.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <functional>
#include <map>
#include <regex>

namespace sesamepaddle {

namespace {

// Maximum number of lines shown on evacuations and on the request's endpoint.
// Of other events, only the latest line is shown.
constexpr std::size_t MaxLinesPerKind = 3;

/** A parsed line of a VM's log. */
struct log_line {
  std::string Whole;  ///< as it was read
  std::string Source; ///< the word before the time, which identifies the VM
  std::string Time;   ///< in a layout that sorts as text
  std::string Text;   ///< the message without the component
  std::string Component;

  /** @returns the value of "name=value" for @p Name, or an empty string. */
  std::string field(std::string_view Name) const {
    const std::string Start = absl::StrCat(toAbsl(Name), "=");
    for (const auto Word : absl::StrSplit(Text, ' '))
      if (absl::StartsWith(Word, Start))
        return std::string(Word.substr(Start.size()));
    return {};
  }
};

/** @returns the parsed line, or nothing if it is not in the text layout. */
std::optional<log_line> parseLine(const std::string &Whole) {
  static const std::regex Form(
      R"(^(.*?)(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d\.\d{3}) [A-Z]+ +([a-z-]+): (.*)$)");
  std::smatch Found;
  if (!std::regex_match(Whole, Found, Form))
    return std::nullopt;
  // Only the last word before the time names the VM: other words before it may
  // be times themselves.
  const std::string Before = Found[1];
  std::string Source;
  for (const auto Word : absl::StrSplit(Before, ' ', absl::SkipEmpty()))
    Source = std::string(Word);
  return log_line{Whole, Source, Found[2], Found[4], Found[3]};
}

bool isRequest(const log_line &Line, std::string_view Id) {
  return Line.Component == "ingress" &&
         absl::StartsWith(Line.Text, "request ") && Line.field("id") == Id;
}

/** The lines of the VM that logged @p Until, up to the time of that line. */
class history {
public:
  history(std::span<const log_line> All, const log_line &Until)
      : All(All), Until(Until) {}

  /** @returns the latest lines, at most @p Most, that satisfy @p IsWanted, in
      their order in the log. */
  std::vector<const log_line *>
  find(const std::function<bool(const log_line &)> &IsWanted,
       std::size_t Most) const {
    std::vector<const log_line *> Found;
    for (const auto &Line : All)
      if (Line.Source == Until.Source && Line.Time <= Until.Time &&
          IsWanted(Line))
        Found.push_back(&Line);
    if (Found.size() > Most)
      Found.erase(Found.begin(),
                  Found.end() - static_cast<std::ptrdiff_t>(Most));
    return Found;
  }

private:
  std::span<const log_line> All;
  const log_line &Until;
};

/** @returns a predicate for lines of @p Component whose text begins with
    @p Start. */
auto startsWith(std::string Component, std::string Start) {
  return [Component = std::move(Component),
          Start = std::move(Start)](const log_line &Line) {
    return Line.Component == Component && absl::StartsWith(Line.Text, Start);
  };
}

/** @returns why the request was not retried, as the end of a sentence, or an
    empty string when @p Reason does not say. */
std::string explainNoRetry(std::string_view Reason) {
  static const std::pair<const char *, const char *> Words[] = {
      {"+no-time", "no time was left for another one"},
      {"+no-attempts", "the route allows no more endpoints for one request"},
      {"+no-budget", "this VM's part of the budget of retries was spent"},
      {"+not-repeatable",
       "a configuration that came after the attempt does not "
       "allow to repeat it"},
      {"+not-allowed",
       "a configuration that came after the attempt has no route "
       "or key for it"},
      {"+no-endpoint", "no other endpoint could be used"},
      {"+endpoints-quiet",
       "all endpoints that it could use had asked for no requests"},
      {"+vm-stopping", "the VM was about to stop"},
      {"+rows-outdated",
       "this VM's rows of the store had become too old to send it by them"}};
  for (const auto &[Sign, Text] : Words)
    if (absl::StrContains(toAbsl(Reason), Sign))
      return absl::StrCat(", and ", Text);
  return {};
}

/** Describes the endpoint that the request was last sent to: its load, and
    whether it knew the request's object. */
std::string describeEndpoint(const log_line &Line) {
  return absl::StrCat("endpoint ", Line.field("endpoint"), " (",
                      Line.field("load"), " requests there, the object ",
                      Line.field("known") == "1" ? "known" : "new to it", ")");
}

/** @returns why the VM rejected the request without sending it. */
std::string explainRefusal(const log_line &Line, const history &History) {
  const auto Status = Line.field("status");
  if (Status == "429") {
    const auto Limits = History.find(
        [&](const log_line &Other) {
          return absl::StartsWith(Other.Text, "limit ") &&
                 Other.field("workspace") == Line.field("workspace");
        },
        1);
    const std::string Limit =
        Limits.empty() ? std::string("its limit is not in these logs")
                       : absl::StrCat("rate ", Limits[0]->field("rate"),
                                      ", burst ", Limits[0]->field("burst"),
                                      " since ", Limits[0]->Time);
    return absl::StrCat("workspace ", Line.field("workspace"),
                        " had used up its limit (", Limit,
                        "): no VM that makes its tokens granted one");
  }
  if (Status == "401")
    return absl::StrCat("its key is in no workspace of configuration version ",
                        Line.field("version"));
  if (Status == "404")
    return absl::StrCat("configuration version ", Line.field("version"),
                        " has no route for its host and path");
  if (Line.field("version") == "0")
    return "the VM had no configuration yet";
  return "it crashed endpoints before and is blocked for a while";
}

/** @returns the cause of the outcome in one sentence. */
std::string explainCause(const log_line &Line, const history &History) {
  const auto Reason = Line.field("reason");
  const auto Status = Line.field("status");
  const auto Sent = describeEndpoint(Line);
  const auto NoRetry = explainNoRetry(Reason);
  if (Reason == "refused" || Reason == "not-allowed")
    return explainRefusal(Line, History);
  if (absl::StartsWith(Reason, "answered"))
    return absl::StrCat(Sent, " answered ", Status, " itself after ",
                        Line.field("ms"), " ms", NoRetry);
  if (absl::StartsWith(Reason, "not-run"))
    return absl::StrCat(Sent, " reported that it did not run it", NoRetry);
  if (absl::StartsWith(Reason, "not-connected"))
    return absl::StrCat(Sent, " accepted no connection", NoRetry);
  if (absl::StartsWith(Reason, "withdrawn"))
    return absl::StrCat(Sent,
                        " could not be used any more when a connection "
                        "to it was open",
                        NoRetry);
  if (absl::StartsWith(Reason, "timed-out"))
    return absl::StrCat(Sent, " did not answer in time and may have run it",
                        NoRetry);
  if (absl::StartsWith(Reason, "lost"))
    return absl::StrCat(Sent, " closed the connection and may have run it",
                        NoRetry);
  if (absl::StartsWith(Reason, "unproved"))
    return absl::StrCat(Sent, " reported success without the required proof",
                        NoRetry);
  if (absl::StartsWith(Reason, "caller-left"))
    return "its caller left before it was answered";
  if (absl::StartsWith(Reason, "+no-endpoint"))
    return absl::StrCat("no endpoint of ", Line.field("service"),
                        " could be used");
  if (absl::StartsWith(Reason, "+vm-stopping"))
    return "the VM was about to stop and it might not have ended before";
  if (absl::StartsWith(Reason, "+rows-outdated"))
    return "the VM's rows of the store were too old to decide it by them, "
           "although the store answered the VM; 'rows outdated=' says which";
  if (absl::StartsWith(Reason, "+endpoints-quiet"))
    return absl::StrCat("all endpoints of ", Line.field("service"),
                        " that it could use had asked for no requests");
  return absl::StrCat("the log line gives no reason, status ", Status);
}

/** @returns the outcomes of the attempts before the last one, or an empty
    string. */
std::string explainEarlierAttempts(const log_line &Line) {
  const auto Tried = Line.field("tried");
  const auto Last = Tried.rfind(',');
  return Last == std::string::npos
             ? std::string()
             : absl::StrCat("; before that: ", Tried.substr(0, Last));
}

} // namespace

std::optional<request_explanation>
explainRequest(std::string_view RequestId, std::span<const std::string> Lines) {
  std::vector<log_line> All;
  for (const auto &Whole : Lines)
    if (auto Line = parseLine(Whole))
      All.push_back(std::move(*Line));
  const auto Request =
      std::find_if(All.begin(), All.end(), [&](const log_line &Line) {
        return isRequest(Line, RequestId);
      });
  if (Request == All.end())
    return std::nullopt;
  const history History(All, *Request);
  const auto Endpoint = Request->field("endpoint");
  const auto Workspace = Request->field("workspace");
  std::vector<const log_line *> Shown = {&*Request};
  const auto Show = [&](const std::function<bool(const log_line &)> &IsWanted,
                        std::size_t Most) {
    const auto Found = History.find(IsWanted, Most);
    Shown.insert(Shown.end(), Found.begin(), Found.end());
  };
  Show(startsWith("store", "configuration "), 1);
  Show(startsWith("store", "lost "), 1);
  Show(startsWith("store", "regained "), 1);
  Show(startsWith("store", "evacuation "), MaxLinesPerKind);
  if (!Endpoint.empty())
    Show(
        [&](const log_line &Line) {
          return absl::StartsWith(Line.Text, "endpoint ") &&
                 Line.field("id") == Endpoint;
        },
        MaxLinesPerKind);
  if (Request->field("status") == "429")
    Show(
        [&](const log_line &Line) {
          return absl::StartsWith(Line.Text, "limit ") &&
                 Line.field("workspace") == Workspace;
        },
        1);
  std::stable_sort(Shown.begin(), Shown.end(),
                   [](const log_line *Left, const log_line *Right) {
                     return Left->Time < Right->Time;
                   });
  request_explanation Explanation;
  for (const auto *Line : Shown)
    Explanation.Lines.push_back(Line->Whole);
  Explanation.Cause =
      explainCause(*Request, History) + explainEarlierAttempts(*Request);
  return Explanation;
}

std::size_t countDropped(std::span<const std::string> Lines) {
  std::size_t Dropped = 0;
  for (const auto &Whole : Lines) {
    const auto Line = parseLine(Whole);
    std::size_t Count = 0;
    if (Line && absl::StartsWith(Line->Text, "lines dropped=") &&
        absl::SimpleAtoi(Line->Text.substr(14), &Count))
      Dropped += Count;
  }
  return Dropped;
}

} // namespace sesamepaddle
