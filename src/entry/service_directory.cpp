#include "sesamepaddle/entry/service_directory.h"

#include "sesamepaddle/documents/failures.h"
#include "sesamepaddle/documents/owner_authority.h"

#include "absl/strings/str_cat.h"

namespace sesamepaddle {

service_directory::service_directory()
    : Services(std::make_shared<service_map>()) {}

absl::Status service_directory::apply(const document_envelope &Envelope) {
  const std::lock_guard Lock(ApplyMutex);
  const service_pointer Present = find(Envelope.Service.view());
  if (Present && Present->Number >= Envelope.Number)
    return makeFailure(
        document_failure::StaleVersion,
        absl::StrCat("number ", Present->Number, " is already in force"));
  owner_authority Known;
  if (Present)
    Known = {Present->Number, Present->Document.Owners};
  auto Document = verifyEnvelope(Envelope, Present ? &Known : nullptr);
  if (!Document.ok())
    return Document.status();
  auto Next = std::make_shared<service_map>(*Services.snapshot());
  (*Next)[Envelope.Service.str()] = build(*std::move(Document), Envelope);
  Services.publish(std::move(Next));
  return absl::OkStatus();
}

service_pointer service_directory::find(std::string_view Service) const {
  return Services.read([&](const service_map &Map) -> service_pointer {
    const auto Found = Map.find(Service);
    return Found == Map.end() ? nullptr : Found->second;
  });
}

std::shared_ptr<const service_map> service_directory::all() const {
  return Services.snapshot();
}

// An endpoint keeps its counters across documents unless its slots or failure
// domain change.
service_pointer service_directory::build(service_document Document,
                                         const document_envelope &Envelope) {
  auto Service = std::make_shared<service_snapshot>();
  for (const auto &Version : Document.Versions) {
    std::vector<std::shared_ptr<endpoint_state>> Endpoints;
    for (const auto &Endpoint : Version.Endpoints) {
      auto &State = EndpointByAddress[Endpoint.Address];
      if (!State || State->Slots != Endpoint.Slots ||
          State->FailureDomain != Endpoint.FailureDomain) {
        State = std::make_shared<endpoint_state>();
        State->Address = Endpoint.Address;
        State->FailureDomain = Endpoint.FailureDomain;
        State->Slots = Endpoint.Slots;
      }
      Endpoints.push_back(State);
    }
    Service->EndpointsByVersion.emplace(Version.Name,
                                        endpoint_set(std::move(Endpoints)));
  }
  Service->Keys = key_table(Document);
  Service->Number = Envelope.Number;
  Service->AppliedAt = boot_clock::now();
  Service->SerializedEnvelope = Envelope.serialize();
  Service->Document = std::move(Document);
  return Service;
}

} // namespace sesamepaddle
