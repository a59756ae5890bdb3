#ifndef SESAMEPADDLE_ENTRY_SERVICE_DIRECTORY_H
#define SESAMEPADDLE_ENTRY_SERVICE_DIRECTORY_H

#include "sesamepaddle/access/key_table.h"
#include "sesamepaddle/core/clock.h"
#include "sesamepaddle/core/rcu_cell.h"
#include "sesamepaddle/documents/document_envelope.h"
#include "sesamepaddle/upstreams/endpoint_set.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** The immutable state of a service: its document in force and the tables
    derived from it. A request uses one snapshot from start to end. */
struct service_snapshot {
  service_document Document;
  document_number Number = 0;
  time_point AppliedAt; ///< when the document was put in force on this VM
  std::string SerializedEnvelope; ///< as sent to peers
  key_table Keys;
  std::map<version_name, endpoint_set> EndpointsByVersion;
};

using service_pointer = std::shared_ptr<const service_snapshot>;
using service_map = std::map<std::string, service_pointer, std::less<>>;

/** The services of this VM by name, each with its document in force. A
    document's number never decreases. Thread-safe. */
class service_directory {
public:
  service_directory();

  /** Checks an envelope and puts its document in force.
      @returns OK, document_failure::StaleVersion if the same or a newer
      document is in force, or the reason why the envelope is rejected. */
  absl::Status apply(const document_envelope &Envelope);

  /** @returns the service named @p Service, or null. */
  service_pointer find(std::string_view Service) const;

  /** @returns all services by name. */
  std::shared_ptr<const service_map> all() const;

private:
  service_pointer build(service_document Document,
                        const document_envelope &Envelope);

  rcu_cell<service_map> Services;
  std::mutex ApplyMutex; // serializes apply(); readers take no lock
  // Shared by successive snapshots, so that endpoints keep their counters.
  std::map<std::string, std::shared_ptr<endpoint_state>> EndpointByAddress;
};

} // namespace sesamepaddle

#endif
