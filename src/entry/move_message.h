#ifndef SESAMEPADDLE_ENTRY_MOVE_MESSAGE_H
#define SESAMEPADDLE_ENTRY_MOVE_MESSAGE_H

#include "sesamepaddle/documents/document_envelope.h"
#include "sesamepaddle/moves/moves.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** The message in which VMs exchange the progress of a version move. */
struct move_message {
  service_name Service;
  document_number Number = 0;
  move_update News;

  /** @returns the message as msgpack. */
  std::string serialize() const;
};

/** @returns the message in @p Payload, or nothing if it is malformed. */
std::optional<move_message> parseMoveMessage(std::string_view Payload);

} // namespace sesamepaddle

#endif
