#ifndef SESAMEPADDLE_SETTINGS_UNITS_H
#define SESAMEPADDLE_SETTINGS_UNITS_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** @returns the duration in @p Text ("250ms", "3s", "5min", "2h"), or nothing
    when it has another form or is longer than ten years. */
std::optional<std::chrono::milliseconds> parseDuration(std::string_view Text);

/** @returns the size in @p Text ("512B", "64KiB", "4MiB", "1GiB") in bytes, or
    nothing when it has another form or is beyond 1e15 bytes. */
std::optional<std::uint64_t> parseBytes(std::string_view Text);

/** @returns the rate in @p Text ("50/s", "0.5/s") in events per second, or
    nothing when it has another form. */
std::optional<double> parseRate(std::string_view Text);

/** @returns the percentage in @p Text ("5%", "12.5%") as a fraction, or nothing
    when it has another form. Above 100% the fraction exceeds 1. */
std::optional<double> parsePercent(std::string_view Text);

/** @returns true when @p Text is an IP address and a port from 1 to 65535, such
    as "127.0.0.1:8080". Host names are not looked up. */
bool isSocketAddress(std::string_view Text);

/** @returns true when @p Text is a valid name of a VM, a region or a failure
    domain: 1 to 64 letters, digits, '-', '_' or '.'. */
bool isName(std::string_view Text);

/** @returns @p Duration in whole seconds or in milliseconds, such as "3s" or
    "250ms". @see parseDuration() */
std::string formatDuration(std::chrono::milliseconds Duration);

} // namespace sesamepaddle

#endif
