#ifndef SESAMEPADDLE_NET_FAILURES_H
#define SESAMEPADDLE_NET_FAILURES_H

#include "sesamepaddle/core/failure.h"

namespace sesamepaddle {

/** Failures of HTTP connections, clients and servers. */
enum class net_failure {
  InvalidAddress,   ///< not an IP address and a port
  ConnectFailed,    ///< no byte of the request was sent
  SendFailed,       ///< part of the request may have been sent
  ReceiveFailed,    ///< the request was sent, but no complete reply came
  Timeout,          ///< the deadline passed
  MalformedMessage, ///< not HTTP, or contradictory framing
  HeaderTooLarge,   ///< header longer than the limit
  BodyTooLarge,     ///< body longer than the limit
  ListenFailed,     ///< the address could not be bound
};

template <> struct failure_traits<net_failure> {
  static constexpr std::string_view Domain = "net";
  static std::string_view name(net_failure Kind);
  static absl::StatusCode code(net_failure Kind);
};

} // namespace sesamepaddle

#endif
