#include "sesamepaddle/access/key_table.h"

#include "sesamepaddle/documents/signing.h"

#include <openssl/crypto.h>

namespace sesamepaddle {

key_table::key_table(const service_document &Document) {
  for (const auto &Workspace : Document.Workspaces)
    for (const auto &Hash : Workspace.KeyHashes)
      WorkspaceByHash.emplace(Hash, Workspace.Name);
}

// The table is searched by the hash of the key, so the search time can only
// reveal something about a hash, which a caller can't choose. The hash that was
// found is then compared in constant time.
std::optional<workspace_name>
key_table::findWorkspace(std::string_view Key) const {
  const std::string Hash = sha256(Key);
  const auto Found = WorkspaceByHash.find(Hash);
  if (Found == WorkspaceByHash.end())
    return std::nullopt;
  if (CRYPTO_memcmp(Found->first.data(), Hash.data(), Hash.size()) != 0)
    return std::nullopt;
  return Found->second;
}

} // namespace sesamepaddle
