#include "measure/sample_documents.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <utility>

namespace sesamepaddle {

sample_documents::sample_documents()
    : Owners{makeSigningKeyPair(), makeSigningKeyPair()} {}

std::string sample_documents::text(const std::string &Service,
                                   const sample_size &Size,
                                   const std::string &Upstream) const {
  std::string Text = absl::StrCat("service: ", Service, "\nowners:\n");
  for (std::size_t Index = 0; Index < Owners.size(); ++Index)
    absl::StrAppend(&Text, "  - { name: owner-", Index, ", public_key: '",
                    absl::Base64Escape(Owners[Index].PublicKey), "' }\n");
  Text += "workspaces:\n";
  for (std::size_t Index = 0; Index < Size.Workspaces; ++Index)
    absl::StrAppend(&Text, "  - { name: workspace-", Index,
                    ", rate: 1000000/s, burst: 1000000, keys: ['sha256:",
                    toHex(sha256(absl::StrCat("key-", Index))), "'] }\n");
  Text += "routes:\n";
  for (std::size_t Index = 0; Index < Size.Routes; ++Index)
    absl::StrAppend(&Text, "  - { name: route-", Index, ", path: /path", Index,
                    ", repeatable: ", Index % 2 == 0 ? "true" : "false",
                    " }\n");
  absl::StrAppend(
      &Text, "versions:\n  - name: v1\n    endpoints:\n      - { address: '",
      Upstream,
      "', failure_domain: lima-a, slots: 1000 }\n"
      "active_version: v1\n");
  return Text;
}

document_envelope sample_documents::sign(const std::string &Service,
                                         std::string Text,
                                         document_number Number) const {
  document_envelope Envelope;
  Envelope.Service = service_name(Service);
  Envelope.Number = Number;
  Envelope.Text = std::move(Text);
  for (std::size_t Index = 0; Index < Owners.size(); ++Index)
    Envelope.Owners.push_back(
        {owner_name(absl::StrCat("owner-", Index)), Owners[Index].PublicKey});
  const std::string Message = Envelope.signedMessage();
  for (std::size_t Index = 0; Index < Owners.size(); ++Index) {
    auto Signature = signMessage(Owners[Index].PrivateKeyPem, Message);
    if (Signature.ok())
      Envelope.Signatures.push_back(
          {owner_name(absl::StrCat("owner-", Index)), std::move(*Signature)});
  }
  return Envelope;
}

} // namespace sesamepaddle
