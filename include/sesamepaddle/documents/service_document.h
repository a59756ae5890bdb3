#ifndef SESAMEPADDLE_DOCUMENTS_SERVICE_DOCUMENT_H
#define SESAMEPADDLE_DOCUMENTS_SERVICE_DOCUMENT_H

#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/settings/yaml_reader.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** One of the people who must approve each change of a document. */
struct document_owner {
  owner_name Name;
  std::string PublicKey; ///< Ed25519, 32 bytes

  friend bool operator==(const document_owner &,
                         const document_owner &) = default;
};

/** A workspace that may call the service, with its rate limit and keys. */
struct document_workspace {
  workspace_name Name;
  double RatePerSecond = 0;           ///< requests admitted per second
  double Burst = 0;                   ///< requests admitted at once
  std::vector<std::string> KeyHashes; ///< SHA-256 of each key, 32 bytes
};

/** What a VM does with requests of a route while its state is
    freshness::CutOff, when a key may have been revoked without its knowledge.
    Open routes are always served. */
enum class cut_off_rule { Serve, Refuse };

/** Rules for the requests that match a method and a path prefix. Where several
    routes match, the one with the longest prefix applies. */
struct document_route {
  route_name Name;
  std::string Method;        ///< empty matches any method
  std::string PathPrefix;    ///< begins with '/'
  bool IsOpen = false;       ///< callers need no key
  bool IsRepeatable = false; ///< a request may be executed more than once
  cut_off_rule WhenCutOff = cut_off_rule::Serve;
  std::chrono::milliseconds Deadline{0}; ///< for the whole request
  std::uint64_t BodyBytes = 0;           ///< largest accepted request body
};

/** One upstream endpoint. */
struct document_endpoint {
  std::string Address; ///< IP address and port
  failure_domain_name FailureDomain;
  unsigned Slots = 1; ///< requests that it runs concurrently
};

/** One version of the service and its endpoints. */
struct document_version {
  version_name Name;
  std::vector<document_endpoint> Endpoints;
};

/** A planned shift of traffic from the active version to another one. */
struct document_move {
  version_name From;
  version_name To;
  double Cap = 0; ///< largest fraction of traffic shifted per minute
  std::int64_t FinishBySeconds = 0; ///< seconds since the Unix epoch
};

/** A bandwidth limit between two regions, for each direction. */
struct document_link {
  region_name First;
  region_name Second;
  std::uint64_t BytesPerSecond = 0; ///< 0 when the document sets none
};

/** The parsed and validated text of a service's document. */
struct service_document {
  service_name Service;
  std::vector<document_owner> Owners;
  std::vector<document_workspace> Workspaces;
  std::vector<document_route> Routes;
  std::vector<document_version> Versions;
  version_name ActiveVersion;
  std::optional<document_move> Move;
  std::vector<document_link> Links;

  /** @returns the workspace named @p Name, or null. */
  const document_workspace *findWorkspace(const workspace_name &Name) const;

  /** @returns the matching route with the longest prefix, or null. */
  const document_route *findRoute(std::string_view Method,
                                  std::string_view Path) const;

  /** @returns the version named @p Name, or null. */
  const document_version *findVersion(const version_name &Name) const;
};

/** Parses and validates a document's YAML text and adds every error found to
    @p Errors.
    @param File  the name to report errors under
    @returns the document, or nothing when there was an error. */
std::optional<service_document> parseServiceDocument(std::string_view Text,
                                                     std::string_view File,
                                                     yaml_errors &Errors);

} // namespace sesamepaddle

#endif
