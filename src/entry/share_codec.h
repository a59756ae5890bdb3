#ifndef SESAMEPADDLE_ENTRY_SHARE_CODEC_H
#define SESAMEPADDLE_ENTRY_SHARE_CODEC_H

#include "sesamepaddle/rate_limiting/domain_ledger.h"
#include "sesamepaddle/rate_limiting/share_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** @returns the message as msgpack. */
std::string encodeShareMessage(const share_message &Message);

/** @returns the message in @p Bytes, or nothing if they are malformed. */
std::optional<share_message> decodeShareMessage(std::string_view Bytes);

/** @returns the ledger as JSON, the content of its table row. */
std::string encodeLedger(const domain_ledger &Ledger);

/** @returns the ledger in @p Text, or nothing if it is malformed. */
std::optional<domain_ledger> decodeLedger(std::string_view Text);

} // namespace sesamepaddle

#endif
