#ifndef SESAMEPADDLE_ENTRY_DOCUMENT_EXCHANGE_H
#define SESAMEPADDLE_ENTRY_DOCUMENT_EXCHANGE_H

#include "sesamepaddle/documents/document_replicator.h"
#include "sesamepaddle/entry/service_directory.h"
#include "sesamepaddle/peers/peer_network.h"
#include "sesamepaddle/platform/platform_client.h"
#include "sesamepaddle/telemetry/log.h"

#include <atomic>
#include <string>

namespace sesamepaddle {

/** Receives documents from the platform and from peers, puts them in force and
    passes them on to peers. Tracks whether this VM may have missed changes such
    as withdrawn keys. All methods except freshnessAt() must be called on the
    io_context of the peer network. */
class document_exchange {
public:
  /** @param Self  this VM's peer address */
  document_exchange(peer_network &Network, service_directory &Services,
                    std::string Self);

  /** Sends the messages that are due to @p Peers. Called every 100 ms. */
  void tick(replication_peers Peers);

  /** Processes the platform's answer to a read of the rows changed after
      revision listAfter(); the read was sent at @p Sent. */
  void takeListing(const table_listing &Listing, time_point Sent);

  /** @returns the table revision after which the platform is read next. */
  table_revision listAfter() const { return Spread.listAfter(); }

  /** @returns how current this VM's documents are at @p Now. Callable from
      every thread; correct even if the thread of that io_context was paused for
      long. */
  freshness freshnessAt(time_point Now) const;

private:
  absl::Status apply(const document_envelope &Envelope);
  void publishFreshness(time_point Now);

  service_directory &Services;
  document_replicator Spread;
  // Copies of the state of Spread for freshnessAt().
  std::atomic<time_point> FreshUntil{time_point()};
  std::atomic<time_point> PlatformOutUntil{time_point()};
  component_log Log{"documents"};
};

} // namespace sesamepaddle

#endif
