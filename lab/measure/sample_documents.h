#ifndef SESAMEPADDLE_LAB_MEASURE_SAMPLE_DOCUMENTS_H
#define SESAMEPADDLE_LAB_MEASURE_SAMPLE_DOCUMENTS_H

#include "sesamepaddle/documents/document_envelope.h"
#include "sesamepaddle/documents/signing.h"

#include <cstddef>
#include <string>
#include <vector>

namespace sesamepaddle {

/** How large a sample document is. */
struct sample_size {
  std::size_t Workspaces = 8;
  std::size_t Routes = 4;
};

/** Makes documents that two owners of its own sign, for measurements. */
class sample_documents {
public:
  sample_documents();

  /** @returns the text of a document. Workspace N has the key "key-N"; a route
      "/pathN" is repeatable where N is even.
      @param Upstream  the one endpoint of its one version */
  std::string text(const std::string &Service, const sample_size &Size,
                   const std::string &Upstream = "127.0.0.1:9") const;

  /** @returns the envelope with @p Text, signed by both owners. */
  document_envelope sign(const std::string &Service, std::string Text,
                         document_number Number) const;

private:
  std::vector<signing_key_pair> Owners;
};

} // namespace sesamepaddle

#endif
