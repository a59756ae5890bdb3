#include "entry/document_exchange.h"

#include "sesamepaddle/documents/failures.h"

#include "absl/strings/str_cat.h"

#include <random>
#include <string>
#include <utility>
#include <vector>

namespace sesamepaddle {

namespace {

// How long freshness::PlatformOut stays valid without another tick or message.
// After that this VM reports CutOff, since the thread that calls tick() may
// have stopped.
constexpr std::chrono::milliseconds PlatformOutValidity{1'000};

} // namespace

document_exchange::document_exchange(peer_network &Network,
                                     service_directory &Services,
                                     std::string Self)
    : Services(Services),
      Spread(std::move(Self), replication_options(),
             {[this](const document_envelope &Envelope) {
                return apply(Envelope);
              },
              [&Network](const std::string &Address, std::string Payload) {
                Network.send(Address, peer_message_kind::Documents,
                             std::move(Payload));
              }},
             std::random_device()()) {
  Network.receive(peer_message_kind::Documents,
                  [this](const peer_sender &Sender, std::string_view Payload) {
                    const time_point Now = boot_clock::now();
                    const auto Status = Spread.receive(Payload, Now);
                    publishFreshness(Now);
                    if (!Status.ok())
                      Log.warn(absl::StrCat("malformed message from ",
                                            Sender.Identity.Name.str(), ": ",
                                            Status.message()));
                  });
}

void document_exchange::tick(replication_peers Peers) {
  const time_point Now = boot_clock::now();
  Spread.setPeers(std::move(Peers));
  Spread.tick(Now);
  publishFreshness(Now);
}

void document_exchange::takeListing(const table_listing &Listing,
                                    time_point Sent) {
  const time_point Now = boot_clock::now();
  std::vector<std::string> Rows;
  for (const auto &Row : Listing.Rows)
    Rows.push_back(Row.Value);
  Spread.takeListing(Rows, Listing.Revision, Sent, Now);
  publishFreshness(Now);
}

freshness document_exchange::freshnessAt(time_point Now) const {
  if (Now < FreshUntil.load(std::memory_order_relaxed))
    return freshness::Fresh;
  return Now < PlatformOutUntil.load(std::memory_order_relaxed)
             ? freshness::PlatformOut
             : freshness::CutOff;
}

absl::Status document_exchange::apply(const document_envelope &Envelope) {
  const absl::Status Status = Services.apply(Envelope);
  const std::string Name = absl::StrCat("document ", Envelope.Number, " of ",
                                        Envelope.Service.str());
  if (Status.ok())
    Log.info(Name + " in force");
  else if (!isFailure(Status, document_failure::StaleVersion))
    Log.error(absl::StrCat(Name, " refused: ", Status.message()));
  return Status;
}

void document_exchange::publishFreshness(time_point Now) {
  FreshUntil.store(Spread.freshUntil(), std::memory_order_relaxed);
  const bool IsOut = Spread.freshnessAt(Now) == freshness::PlatformOut;
  PlatformOutUntil.store(IsOut ? Now + PlatformOutValidity : time_point(),
                         std::memory_order_relaxed);
}

} // namespace sesamepaddle
