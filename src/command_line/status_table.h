#ifndef SESAMEPADDLE_COMMAND_LINE_STATUS_TABLE_H
#define SESAMEPADDLE_COMMAND_LINE_STATUS_TABLE_H

#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** Formats a VM's status as text: single values first, then a table for each
    list or object.
    @param StatusJson  the reply body of GET /status
    @returns the text, or nothing when the body is not a JSON object. */
std::optional<std::string> formatStatusTable(std::string_view StatusJson);

} // namespace sesamepaddle

#endif
