#ifndef SESAMEPADDLE_ACCESS_KEY_TABLE_H
#define SESAMEPADDLE_ACCESS_KEY_TABLE_H

#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/documents/service_document.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sesamepaddle {

/** Maps the API keys of one service document to their workspaces. Holds only
    the SHA-256 hashes of keys. Immutable. */
class key_table {
public:
  key_table() = default;
  explicit key_table(const service_document &Document);

  /** @returns the workspace that @p Key belongs to, or nothing. */
  std::optional<workspace_name> findWorkspace(std::string_view Key) const;

private:
  std::unordered_map<std::string, workspace_name> WorkspaceByHash;
};

} // namespace sesamepaddle

#endif
