#include "peers/peer_frame.h"

#include "sesamepaddle/peers/failures.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/endian/conversion.hpp>
#include <msgpack.hpp>

#include <array>
#include <tuple>

namespace sesamepaddle {

namespace {

// The first field of greetings and hellos. It identifies the protocol.
constexpr std::string_view Magic = "sesamepaddle-peer";
// Bounds on what msgpack allocates for a frame. Frames are flat arrays of at
// most 7 fields, and MaxText, in bytes, equals the default of
// peer_network_options::MaxFrameBytes.
constexpr std::size_t MaxFields = 16;
constexpr std::size_t MaxDepth = 4;
constexpr std::size_t MaxText = std::size_t{1024} * 1024;

/** @returns the values as one msgpack array. */
template <typename... Fields> std::string pack(const Fields &...Values) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, std::make_tuple(Values...));
  return {Buffer.data(), Buffer.size()};
}

/** Unpacks an array of exactly the fields of @p Tuple, within the bounds above.
    @returns the fields, or peer_failure::MalformedFrame. */
template <typename Tuple> absl::StatusOr<Tuple> unpack(std::string_view Bytes) {
  const msgpack::unpack_limit Limit(MaxFields, MaxFields, MaxText, MaxText, 0,
                                    MaxDepth);
  try {
    std::size_t Offset = 0;
    const msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), Offset, nullptr, nullptr, Limit);
    const auto &Object = Handle.get();
    const bool HasRightSize = Object.type == msgpack::type::ARRAY &&
                              Object.via.array.size == std::tuple_size_v<Tuple>;
    if (HasRightSize && Offset == Bytes.size())
      return Object.as<Tuple>();
  } catch (const std::exception &Error) {
    return makeFailure(peer_failure::MalformedFrame, Error.what());
  }
  return makeFailure(peer_failure::MalformedFrame,
                     "unexpected number of fields or trailing bytes");
}

/** Maps a read or write error to peer_failure::Timeout or ConnectionLost. */
absl::Status makeStreamFailure(const boost::system::error_code &Error) {
  return makeFailure(Error == boost::beast::error::timeout
                         ? peer_failure::Timeout
                         : peer_failure::ConnectionLost,
                     Error.message());
}

absl::Status makeMagicFailure() {
  return makeFailure(peer_failure::MalformedFrame, "unexpected protocol name");
}

} // namespace

std::string encode(const peer_greeting &Greeting) {
  return pack(std::string(Magic), Greeting.Version, Greeting.Nonce);
}

std::string encode(const peer_hello &Hello) {
  return pack(std::string(Magic), Hello.Version, Hello.Identity.Name.str(),
              static_cast<std::uint64_t>(Hello.Identity.Incarnation),
              Hello.FailureDomain.str(), Hello.Nonce, Hello.Proof);
}

std::string encode(const peer_frame &Frame) {
  return pack(Frame.Kind, Frame.Payload);
}

std::string encodeAcknowledgement(std::uint64_t Count) {
  return encode(peer_frame{AcknowledgementKind, pack(Count)});
}

absl::StatusOr<peer_greeting> decodeGreeting(std::string_view Bytes) {
  using fields = std::tuple<std::string, std::uint32_t, std::string>;
  auto Fields = unpack<fields>(Bytes);
  if (!Fields.ok())
    return Fields.status();
  auto &[Name, Version, Nonce] = *Fields;
  if (Name != Magic)
    return makeMagicFailure();
  return peer_greeting{Version, std::move(Nonce)};
}

absl::StatusOr<peer_hello> decodeHello(std::string_view Bytes) {
  using fields =
      std::tuple<std::string, std::uint32_t, std::string, std::uint64_t,
                 std::string, std::string, std::string>;
  auto Fields = unpack<fields>(Bytes);
  if (!Fields.ok())
    return Fields.status();
  auto &[Protocol, Version, Name, Incarnation, Domain, Nonce, Proof] = *Fields;
  if (Protocol != Magic)
    return makeMagicFailure();
  return peer_hello{Version,
                    {vm_name(std::move(Name)), incarnation{Incarnation}},
                    failure_domain_name(std::move(Domain)),
                    std::move(Nonce),
                    std::move(Proof)};
}

absl::StatusOr<peer_frame> decodeFrame(std::string_view Bytes) {
  auto Fields = unpack<std::tuple<std::uint8_t, std::string>>(Bytes);
  if (!Fields.ok())
    return Fields.status();
  auto &[Kind, Payload] = *Fields;
  return peer_frame{Kind, std::move(Payload)};
}

absl::StatusOr<std::uint64_t> decodeAcknowledgement(std::string_view Payload) {
  const auto Fields = unpack<std::tuple<std::uint64_t>>(Payload);
  if (!Fields.ok())
    return Fields.status();
  return std::get<0>(*Fields);
}

awaitable<absl::Status> writeFrame(boost::beast::tcp_stream &Stream,
                                   std::string_view Bytes) {
  const std::uint32_t Length =
      boost::endian::native_to_big(static_cast<std::uint32_t>(Bytes.size()));
  const std::array<asio::const_buffer, 2> Parts = {
      asio::buffer(&Length, sizeof Length), asio::buffer(Bytes)};
  boost::system::error_code Error;
  co_await asio::async_write(Stream, Parts,
                             asio::redirect_error(asio::use_awaitable, Error));
  co_return Error ? makeStreamFailure(Error) : absl::OkStatus();
}

awaitable<absl::StatusOr<std::string>>
readFrame(boost::beast::tcp_stream &Stream, std::size_t Limit) {
  std::uint32_t Length = 0;
  boost::system::error_code Error;
  co_await asio::async_read(Stream, asio::buffer(&Length, sizeof Length),
                            asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return makeStreamFailure(Error);
  Length = boost::endian::big_to_native(Length);
  if (Length > Limit)
    co_return makeFailure(peer_failure::MalformedFrame, "frame too long");
  std::string Bytes(Length, '\0');
  co_await asio::async_read(Stream, asio::buffer(Bytes),
                            asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return makeStreamFailure(Error);
  co_return Bytes;
}

} // namespace sesamepaddle
