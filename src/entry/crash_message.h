#ifndef SESAMEPADDLE_ENTRY_CRASH_MESSAGE_H
#define SESAMEPADDLE_ENTRY_CRASH_MESSAGE_H

#include "sesamepaddle/upstreams/poison_registry.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** @returns @p Evidence as msgpack, to be sent to other entry VMs. */
std::string encodeCrash(const crash_evidence &Evidence);

/** @returns the evidence in @p Payload, or nothing if it is malformed. */
std::optional<crash_evidence> decodeCrash(std::string_view Payload);

} // namespace sesamepaddle

#endif
