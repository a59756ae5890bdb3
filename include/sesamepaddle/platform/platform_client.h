#ifndef SESAMEPADDLE_PLATFORM_PLATFORM_CLIENT_H
#define SESAMEPADDLE_PLATFORM_PLATFORM_CLIENT_H

#include "absl/status/statusor.h"
#include "sesamepaddle/core/identifiers.h"
#include "sesamepaddle/net/asio.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Number of the table's state, which grows with every commit. The version of a
    row is the revision of the commit that wrote it. */
using table_revision = std::uint64_t;

/** The version of a row that does not exist. */
constexpr table_revision AbsentRow = 0;

/** One row of the table. */
struct table_row {
  std::string Key;
  table_revision Version = AbsentRow;
  std::string Value;
};

/** The rows with a key prefix that changed after a revision. */
struct table_listing {
  table_revision Revision = 0; ///< of the table when it was listed
  std::vector<table_row> Rows;
};

/** Requires that a row still has the given version. */
struct row_condition {
  std::string Key;
  table_revision Version = AbsentRow;
};

/** Writes a row, or deletes it when there is no value. */
struct row_write {
  std::string Key;
  std::optional<std::string> Value;
};

/** Writes several rows atomically if all conditions hold, otherwise none. */
struct table_transaction {
  /** Makes the commit idempotent: a repeat with the same id gets the answer of
      the first. */
  std::string OperationId;
  std::vector<row_condition> Conditions;
  std::vector<row_write> Writes;
};

/** One entry of the platform's VM list, which may lag behind. */
struct listed_vm {
  vm_name Name;
  region_name Region;
  failure_domain_name FailureDomain;
  std::string CallerAddress;  ///< HTTP: requests and look-ups of callers
  std::string PeerAddress;    ///< TCP: messages from other VMs
  std::string ControlAddress; ///< HTTP: status, metrics, drain for operators
  bool IsLeaving = false;
};

/** Functions that call the platform. Each call has its own timeout and ends
    with a value or a platform_failure. */
struct platform_client {
  /** Reads the row of a key; nothing when it does not exist. */
  std::function<awaitable<absl::StatusOr<std::optional<table_row>>>(
      std::string)>
      ReadRow;
  /** Lists the rows with a key prefix that changed after a revision. */
  std::function<awaitable<absl::StatusOr<table_listing>>(std::string,
                                                         table_revision)>
      ListRows;
  /** Commits a transaction and returns the revision of the commit; Conflict
     when a condition does not hold. */
  std::function<awaitable<absl::StatusOr<table_revision>>(table_transaction)>
      Commit;
  /** Reads an object by name; nothing when it does not exist. */
  std::function<awaitable<absl::StatusOr<std::optional<std::string>>>(
      std::string)>
      ReadObject;
  /** Writes an object: name, content. */
  std::function<awaitable<absl::Status>(std::string, std::string)> WriteObject;
  /** Reads the platform's VM list. */
  std::function<awaitable<absl::StatusOr<std::vector<listed_vm>>>()> ListVms;
};

} // namespace sesamepaddle

#endif
