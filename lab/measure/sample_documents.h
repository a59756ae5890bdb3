#ifndef SESAMEPADDLE_LAB_MEASURE_SAMPLE_DOCUMENTS_H
#define SESAMEPADDLE_LAB_MEASURE_SAMPLE_DOCUMENTS_H

#include "sesamepaddle/documents/document_envelope.h"
#include "sesamepaddle/documents/signing.h"

#include <cstddef>
#include <string>
#include <vector>

namespace sesamepaddle {

/** The size of a sample document. */
struct sample_size {
  std::size_t Workspaces = 8;
  std::size_t Routes = 4;
};

/** Creates documents for measurements, signed by two owners whose keys it
    generates. */
class sample_documents {
public:
  sample_documents();

  /** @returns the text of a document. Workspace N has the key "key-N". Route
      "/pathN" is repeatable if N is even.
      @param Upstream  address of the only endpoint of the only version */
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
