#ifndef SESAMEPADDLE_ENTRY_MOVE_MESSAGE_H
#define SESAMEPADDLE_ENTRY_MOVE_MESSAGE_H

#include "sesamepaddle/documents/document_envelope.h"
#include "sesamepaddle/moves/moves.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** News of a move as peers send them, in msgpack. */
struct move_message {
  service_name Service;
  document_number Number = 0;
  move_update News;

  std::string serialize() const;
};

/** @returns the message in @p Payload, or nothing when it is malformed. */
std::optional<move_message> parseMoveMessage(std::string_view Payload);

} // namespace sesamepaddle

#endif
