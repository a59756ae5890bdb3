#include "sesamepaddle/membership/membership_message.h"

#include "sesamepaddle/membership/failures.h"

#include <msgpack.hpp>

#include <limits>

namespace sesamepaddle {

namespace {

// Number of fields of membership_message, which is packed as an array.
constexpr std::uint32_t MessageFields = 6;

// An entry is packed as two numbers: the incarnation, and the heartbeat with
// the state in its lowest bits, which saves one byte per entry.
constexpr unsigned StateBits = 2;
constexpr std::uint64_t StateMask = (1U << StateBits) - 1;

using packer = msgpack::packer<msgpack::sbuffer>;

std::uint64_t toNumber(incarnation Incarnation) {
  return static_cast<std::uint64_t>(Incarnation);
}

std::uint32_t countOf(std::size_t Size) {
  return static_cast<std::uint32_t>(Size);
}

void packEntries(packer &Packer, const std::vector<member_entry> &Entries) {
  Packer.pack_array(countOf(2 * Entries.size()));
  for (const auto &Entry : Entries) {
    Packer.pack(toNumber(Entry.Incarnation));
    Packer.pack(Entry.Heartbeat << StateBits |
                static_cast<std::uint64_t>(Entry.State));
  }
}

void packSummaries(packer &Packer,
                   const std::vector<domain_summary> &Summaries) {
  Packer.pack_array(countOf(3 * Summaries.size()));
  for (const auto &Summary : Summaries) {
    Packer.pack(Summary.FailureDomain.str());
    Packer.pack(Summary.LiveDigest);
    Packer.pack(Summary.AgeMilliseconds);
  }
}

void packDescriptions(packer &Packer,
                      const std::vector<member_description> &Descriptions) {
  Packer.pack_array(countOf(6 * Descriptions.size()));
  for (const auto &[Incarnation, Address] : Descriptions) {
    Packer.pack(toNumber(Incarnation));
    Packer.pack(Address.Name.str());
    Packer.pack(Address.Region.str());
    Packer.pack(Address.FailureDomain.str());
    Packer.pack(Address.CallerAddress);
    Packer.pack(Address.PeerAddress);
  }
}

/** Reads the values of a flat array in order; throws msgpack::type_error when a
    value is missing or has another type. */
class array_reader {
public:
  explicit array_reader(const msgpack::object &Object) {
    if (Object.type != msgpack::type::ARRAY)
      throw msgpack::type_error();
    Array = Object.via.array;
  }

  bool atEnd() const { return Next == Array.size; }

  const msgpack::object &next() {
    if (atEnd())
      throw msgpack::type_error();
    return Array.ptr[Next++];
  }

  std::uint64_t number() { return next().as<std::uint64_t>(); }
  std::string text() { return next().as<std::string>(); }

private:
  msgpack::object_array Array{};
  std::uint32_t Next = 0;
};

member_entry readEntry(array_reader &Reader) {
  member_entry Entry;
  Entry.Incarnation = incarnation{Reader.number()};
  const std::uint64_t Packed = Reader.number();
  Entry.Heartbeat = Packed >> StateBits;
  Entry.State = static_cast<member_state>(Packed & StateMask);
  if (Entry.State == member_state::Unheard)
    throw msgpack::type_error();
  return Entry;
}

domain_summary readSummary(array_reader &Reader) {
  domain_summary Summary;
  Summary.FailureDomain = failure_domain_name(Reader.text());
  Summary.LiveDigest = Reader.number();
  Summary.AgeMilliseconds = Reader.number();
  return Summary;
}

member_description readDescription(array_reader &Reader) {
  member_description Description;
  Description.Incarnation = incarnation{Reader.number()};
  Description.Address.Name = vm_name(Reader.text());
  Description.Address.Region = region_name(Reader.text());
  Description.Address.FailureDomain = failure_domain_name(Reader.text());
  Description.Address.CallerAddress = Reader.text();
  Description.Address.PeerAddress = Reader.text();
  return Description;
}

/** @returns the values that @p ReadOne reads until the end of @p Array. */
template <typename Read>
auto readAll(const msgpack::object &Array, Read ReadOne) {
  array_reader Reader(Array);
  std::vector<decltype(ReadOne(Reader))> Values;
  while (!Reader.atEnd())
    Values.push_back(ReadOne(Reader));
  return Values;
}

// No field can be longer than the payload. A larger claimed length is rejected
// before memory is allocated for it. A message is an array of flat arrays, so
// nothing in it is nested deeper than Depth.
msgpack::unpack_limit limitFor(std::string_view Payload) {
  constexpr std::size_t Depth = 3;
  const std::size_t Longest = Payload.size();
  return {Longest, Longest, Longest, Longest, Longest, Depth};
}

} // namespace

std::string membership_message::serialize() const {
  msgpack::sbuffer Buffer;
  packer Packer(Buffer);
  Packer.pack_array(MessageFields);
  Packer.pack(SenderAddress);
  packEntries(Packer, Entries);
  packSummaries(Packer, Summaries);
  packDescriptions(Packer, Descriptions);
  Packer.pack_array(countOf(DescriptionRequests.size()));
  for (const auto &Requested : DescriptionRequests)
    Packer.pack(toNumber(Requested));
  Packer.pack_array(countOf(DomainEntryRequests.size()));
  for (const auto &Domain : DomainEntryRequests)
    Packer.pack(Domain.str());
  return {Buffer.data(), Buffer.size()};
}

absl::StatusOr<membership_message>
parseMembershipMessage(std::string_view Payload) {
  try {
    const auto Handle = msgpack::unpack(Payload.data(), Payload.size(), nullptr,
                                        nullptr, limitFor(Payload));
    array_reader Fields(Handle.get());
    membership_message Message;
    Message.SenderAddress = Fields.text();
    Message.Entries = readAll(Fields.next(), readEntry);
    Message.Summaries = readAll(Fields.next(), readSummary);
    Message.Descriptions = readAll(Fields.next(), readDescription);
    Message.DescriptionRequests =
        readAll(Fields.next(), [](array_reader &Reader) {
          return incarnation{Reader.number()};
        });
    Message.DomainEntryRequests =
        readAll(Fields.next(), [](array_reader &Reader) {
          return failure_domain_name(Reader.text());
        });
    return Message;
  } catch (const std::exception &Error) {
    return makeFailure(membership_failure::MalformedMessage, Error.what());
  }
}

} // namespace sesamepaddle
