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

/** A document in force with what is derived from it. A request keeps the one
    that it began with. */
struct service_snapshot {
  service_document Document;
  document_number Number = 0;
  time_point AppliedAt;
  std::string SerializedEnvelope; ///< as it is passed on to peers
  key_table Keys;
  std::map<version_name, endpoint_set> EndpointsByVersion;
};

using service_pointer = std::shared_ptr<const service_snapshot>;
using service_map = std::map<std::string, service_pointer, std::less<>>;

/** The documents in force on this VM. A number never goes down. */
class service_directory {
public:
  service_directory();

  /** Checks an envelope and puts its document in force.
      @returns OK, document_failure::StaleVersion when the same or a newer one
      is in force, or why the envelope is refused. */
  absl::Status apply(const document_envelope &Envelope);

  /** @returns the service of that name, or null. */
  service_pointer find(std::string_view Service) const;

  /** @returns all services in force. */
  std::shared_ptr<const service_map> all() const;

private:
  service_pointer build(service_document Document,
                        const document_envelope &Envelope);

  rcu_cell<service_map> Services;
  std::mutex ApplyMutex; // taken by writers alone
  std::map<std::string, std::shared_ptr<endpoint_state>> EndpointByAddress;
};

} // namespace sesamepaddle

#endif
