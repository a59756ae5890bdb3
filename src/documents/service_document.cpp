#include "sesamepaddle/documents/service_document.h"

#include "sesamepaddle/core/text.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <algorithm>
#include <array>
#include <set>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t PublicKeyBytes = 32; // Ed25519
constexpr std::size_t HashBytes = 32;      // SHA-256
// In the order of cut_off_rule.
constexpr std::array<std::string_view, 2> CutOffNames = {"serve", "refuse"};

/** Reports names that occur more than once in a list. */
class duplicate_name_check {
public:
  void add(yaml_reader &Reader, std::string_view Key, const std::string &Name) {
    if (!Name.empty() && !Seen.insert(Name).second)
      Reader.report(Key, absl::StrCat("'", Name, "' is listed twice"),
                    "each name once");
  }

private:
  std::set<std::string> Seen;
};

/** @returns the 32 bytes of a hash such as "sha256:<64 hexadecimal digits>",
    or an empty string when @p Text has another form. */
std::string decodeHash(std::string_view Text) {
  constexpr std::string_view Prefix = "sha256:";
  if (!Text.starts_with(Prefix) || Text.size() != Prefix.size() + 2 * HashBytes)
    return {};
  const auto Digits = Text.substr(Prefix.size());
  const bool IsHex = std::ranges::all_of(
      Digits, [](unsigned char Digit) { return absl::ascii_isxdigit(Digit); });
  return IsHex ? absl::HexStringToBytes(toAbsl(Digits)) : std::string();
}

void readOwners(yaml_reader &Root, service_document &Document) {
  duplicate_name_check Names;
  for (auto &Reader : Root.mappings("owners", true)) {
    document_owner Owner;
    Owner.Name = owner_name(Reader.requiredText("name", "a name"));
    Names.add(Reader, "name", Owner.Name.str());
    const std::string Key =
        Reader.requiredText("public_key", "32 bytes in base64");
    const bool IsKey = absl::Base64Unescape(Key, &Owner.PublicKey) &&
                       Owner.PublicKey.size() == PublicKeyBytes;
    if (!Key.empty() && !IsKey)
      Reader.report("public_key", "not an Ed25519 public key",
                    "32 bytes in base64");
    Reader.finish();
    Document.Owners.push_back(std::move(Owner));
  }
  std::set<std::string> Keys;
  for (const auto &Owner : Document.Owners)
    Keys.insert(Owner.PublicKey);
  if (Keys.size() < 2)
    Root.report("owners", "fewer than two owners with different keys",
                "two or more owners with different keys");
}

void readKeys(yaml_reader &Reader, document_workspace &Workspace) {
  for (const auto &Text : Reader.optionalTexts("keys")) {
    std::string Hash = decodeHash(Text);
    if (Hash.empty())
      Reader.report("keys",
                    absl::StrCat("'", Text, "' is not the hash of a key"),
                    "sha256: and 64 hexadecimal digits");
    Workspace.KeyHashes.push_back(std::move(Hash));
  }
}

void readWorkspaces(yaml_reader &Root, service_document &Document) {
  constexpr double LargestBurst = 1e9;
  duplicate_name_check Names;
  std::set<std::string> Hashes;
  for (auto &Reader : Root.mappings("workspaces", true)) {
    document_workspace Workspace;
    Workspace.Name = workspace_name(Reader.requiredText("name", "a name"));
    Names.add(Reader, "name", Workspace.Name.str());
    Workspace.RatePerSecond = Reader.requiredRate("rate");
    Workspace.Burst = Reader.requiredNumber("burst", 1, LargestBurst);
    readKeys(Reader, Workspace);
    for (const auto &Hash : Workspace.KeyHashes)
      if (!Hash.empty() && !Hashes.insert(Hash).second)
        Reader.report("keys", "a key is listed twice",
                      "each key once in the document");
    Reader.finish();
    Document.Workspaces.push_back(std::move(Workspace));
  }
}

void readRoutes(yaml_reader &Root, service_document &Document) {
  duplicate_name_check Names;
  for (auto &Reader : Root.mappings("routes", true)) {
    document_route Route;
    Route.Name = route_name(Reader.requiredText("name", "a name"));
    Names.add(Reader, "name", Route.Name.str());
    Route.Method = Reader.optionalText("method", "");
    Route.PathPrefix = Reader.requiredText("path", "a path such as /orders");
    if (!Route.PathPrefix.empty() && Route.PathPrefix.front() != '/')
      Reader.report("path", "the path does not begin with '/'",
                    "a path such as /orders");
    Route.IsOpen = Reader.optionalFlag("open", false);
    Route.IsRepeatable = Reader.optionalFlag("repeatable", false);
    // By default only a route whose requests may be executed more than once is
    // served while cut off.
    Route.WhenCutOff = static_cast<cut_off_rule>(Reader.optionalChoice(
        "when_cut_off", CutOffNames, Route.IsRepeatable ? 0 : 1));
    Route.Deadline =
        Reader.optionalDuration("deadline", milliseconds(10'000),
                                milliseconds(10), milliseconds(600'000));
    Route.BodyBytes =
        Reader.optionalBytes("body_limit", 65'536, 0, 1'073'741'824);
    Reader.finish();
    Document.Routes.push_back(std::move(Route));
  }
}

document_endpoint readEndpoint(yaml_reader &Reader) {
  document_endpoint Endpoint;
  Endpoint.Address = Reader.requiredText("address", "an IP address and a port");
  Endpoint.FailureDomain =
      failure_domain_name(Reader.requiredText("failure_domain", "a name"));
  Endpoint.Slots =
      static_cast<unsigned>(Reader.optionalInteger("slots", 4, 1, 100'000));
  Reader.finish();
  return Endpoint;
}

void readVersions(yaml_reader &Root, service_document &Document) {
  duplicate_name_check Names;
  for (auto &Reader : Root.mappings("versions", true)) {
    document_version Version;
    Version.Name = version_name(Reader.requiredText("name", "a name"));
    Names.add(Reader, "name", Version.Name.str());
    for (auto &EndpointReader : Reader.mappings("endpoints", true))
      Version.Endpoints.push_back(readEndpoint(EndpointReader));
    Reader.finish();
    Document.Versions.push_back(std::move(Version));
  }
  Document.ActiveVersion =
      version_name(Root.requiredText("active_version", "a version's name"));
  if (!Document.ActiveVersion.empty() &&
      Document.findVersion(Document.ActiveVersion) == nullptr)
    Root.report("active_version", "no such version", "the name of a version");
}

void readMove(yaml_reader &Root, service_document &Document) {
  if (!Root.has("move"))
    return;
  yaml_reader Reader = Root.mapping("move", false);
  document_move Move;
  Move.From = Document.ActiveVersion;
  Move.To = version_name(Reader.requiredText("to", "a version's name"));
  if (!Move.To.empty() && Document.findVersion(Move.To) == nullptr)
    Reader.report("to", "no such version", "the name of a version");
  if (Move.To == Move.From)
    Reader.report("to", "the target is already the active version",
                  "another version");
  Move.Cap = Reader.optionalPercent("cap_per_minute", 0.1);
  const std::string Time =
      Reader.requiredText("finish_by", "a time such as 2026-12-04T12:00:00Z");
  absl::Time FinishBy;
  std::string Problem;
  if (!Time.empty() &&
      !absl::ParseTime(absl::RFC3339_full, Time, &FinishBy, &Problem))
    Reader.report("finish_by", "not a time",
                  "a time such as 2026-12-04T12:00:00Z");
  Move.FinishBySeconds = absl::ToUnixSeconds(FinishBy);
  Reader.finish();
  Document.Move = std::move(Move);
}

void readLinks(yaml_reader &Root, service_document &Document) {
  for (auto &Reader : Root.mappings("links", false)) {
    document_link Link;
    Link.First = region_name(Reader.requiredText("first", "a region"));
    Link.Second = region_name(Reader.requiredText("second", "a region"));
    Link.BytesPerSecond =
        Reader.optionalBytes("bytes_per_second", 0, 1, 1'000'000'000'000);
    Reader.finish();
    Document.Links.push_back(std::move(Link));
  }
}

template <typename Entry, typename Name>
const Entry *findNamed(const std::vector<Entry> &Entries, const Name &Wanted) {
  const auto Found = std::ranges::find(Entries, Wanted, &Entry::Name);
  return Found == Entries.end() ? nullptr : &*Found;
}

/** @returns whether @p Prefix matches whole segments of @p Path: /orders
    matches /orders/7 but not /ordersheet. */
bool matchesPath(std::string_view Prefix, std::string_view Path) {
  if (!Path.starts_with(Prefix))
    return false;
  return Prefix.ends_with('/') || Path.size() == Prefix.size() ||
         Path[Prefix.size()] == '/';
}

} // namespace

const document_workspace *
service_document::findWorkspace(const workspace_name &Name) const {
  return findNamed(Workspaces, Name);
}

const document_version *
service_document::findVersion(const version_name &Name) const {
  return findNamed(Versions, Name);
}

const document_route *service_document::findRoute(std::string_view Method,
                                                  std::string_view Path) const {
  const document_route *Best = nullptr;
  for (const auto &Route : Routes) {
    const bool IsMatch = (Route.Method.empty() || Route.Method == Method) &&
                         matchesPath(Route.PathPrefix, Path);
    if (IsMatch &&
        (Best == nullptr || Route.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Route;
  }
  return Best;
}

std::optional<service_document> parseServiceDocument(std::string_view Text,
                                                     std::string_view File,
                                                     yaml_errors &Errors) {
  const std::size_t ErrorsBefore = Errors.size();
  const auto Root = parseYamlMapping(Text, File, Errors);
  if (!Root)
    return std::nullopt;
  service_document Document;
  yaml_reader Reader(*Root, std::string(File), Errors);
  Document.Service = service_name(Reader.requiredText("service", "a name"));
  readOwners(Reader, Document);
  readWorkspaces(Reader, Document);
  readRoutes(Reader, Document);
  readVersions(Reader, Document);
  readMove(Reader, Document);
  readLinks(Reader, Document);
  Reader.finish();
  if (Errors.size() > ErrorsBefore)
    return std::nullopt;
  return Document;
}

} // namespace sesamepaddle
