#ifndef SESAMEPADDLE_NET_HTTP_MESSAGE_H
#define SESAMEPADDLE_NET_HTTP_MESSAGE_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** One header field of an HTTP message. */
struct http_header {
  std::string Name;
  std::string Value;
};

/** The header fields of a message, in the order in which they are sent. */
using http_headers = std::vector<http_header>;

/** @returns the value of the first field named @p Name (case-insensitive), or
    an empty view. */
std::string_view findHeader(const http_headers &Headers, std::string_view Name);

/** Removes all fields named @p Name (case-insensitive). */
void removeHeader(http_headers &Headers, std::string_view Name);

/** Removes the hop-by-hop fields (RFC 9110, section 7.6.1), the fields that the
    Connection field lists, and the framing fields. */
void removeHopByHopHeaders(http_headers &Headers);

/** Appends to @p Head the lines of all fields but those that
    removeHopByHopHeaders() removes and those named in @p Excluded. */
void appendForwardedHeaders(std::string &Head, const http_headers &Headers,
                            std::span<const std::string_view> Excluded);

/** A request with its whole body. */
struct http_request {
  std::string Method = "GET";
  std::string Target = "/";
  http_headers Headers;
  std::string Body;
};

/** A reply with its whole body. */
struct http_reply {
  unsigned Status = 200;
  http_headers Headers;
  std::string Body;
};

/** @returns a reply with a JSON body. */
http_reply makeJsonReply(unsigned Status, std::string Json);

/** @returns true when @p Status is one that HTTP defines a class for, 100 to
    599. A peer in trouble may send any three digits. */
constexpr bool isHttpStatus(unsigned Status) {
  return Status >= 100 && Status <= 599;
}

/** @returns true when @p Text contains the status line of an HTTP/1 message.
    A reason phrase or field value that does shows that the head of a truncated
    message continues with the next message. */
bool containsStatusLine(std::string_view Text);

/** @returns true when a field value in @p Headers contains a status line. */
bool containsStatusLine(const http_headers &Headers);

/** @returns the path of @p Target without its query. */
std::string_view targetPath(std::string_view Target);

/** @returns the percent-decoded value of the first parameter @p Name in the
    query of @p Target, or an empty string. */
std::string queryValue(std::string_view Target, std::string_view Name);

} // namespace sesamepaddle

#endif
