#ifndef SESAMEPADDLE_LAB_PLATFORM_TABLE_STORE_H
#define SESAMEPADDLE_LAB_PLATFORM_TABLE_STORE_H

#include "sesamepaddle/platform/platform_client.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** In-memory rows of the stand-in for the table service. Not thread-safe. */
class table_store {
public:
  /** Applies all writes if all conditions hold. A repeated operation id has no
      effect and gets the first answer again.
      @returns the new revision, or nothing on a conflict. */
  std::optional<table_revision> commit(const table_transaction &Transaction);

  /** @returns the row, or nothing when there is none. */
  std::optional<table_row> find(std::string_view Key) const;

  /** @returns the rows whose key begins with @p Prefix and that were written
      after revision @p After. */
  table_listing list(std::string_view Prefix, table_revision After) const;

private:
  std::map<std::string, table_row, std::less<>> Rows;
  std::map<std::string, std::optional<table_revision>> AnswerByOperation;
  table_revision Revision = 0;
};

} // namespace sesamepaddle

#endif
