#ifndef SESAMEPADDLE_ENTRY_MOVE_CONTROLLER_H
#define SESAMEPADDLE_ENTRY_MOVE_CONTROLLER_H

#include "entry/vm_directory.h"
#include "sesamepaddle/core/rcu_cell.h"
#include "sesamepaddle/entry/service_directory.h"
#include "sesamepaddle/moves/moves.h"
#include "sesamepaddle/peers/peer_network.h"
#include "sesamepaddle/platform/platform_client.h"
#include "sesamepaddle/telemetry/log.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sesamepaddle {

/** The state of one version move: the gradual shift of a service's traffic to a
    new version, as planned in a document in force. */
struct running_move;

/** The version chosen to run one request. */
struct chosen_version {
  version_name Version;
  bool IsNew = false;
  double NewShare = 0; ///< the new version's share of traffic, 0 to 1
  std::shared_ptr<running_move> Move; ///< null: no move is running
};

/** A version move as shown by GET /status. */
struct move_summary {
  service_name Service;
  version_name To;
  std::string State;
  double Share = 0;
};

/** Runs the version moves of the documents in force: chooses the version of
    each request, collects their results, exchanges them with peers and records
    the move's outcome in the platform's table. */
class move_controller {
public:
  move_controller(asio::io_context &Context, peer_network &Network,
                  platform_client Platform, const service_directory &Services,
                  const vm_directory &Vms);

  /** Starts moves of new documents and advances all moves, every 100 ms until
      @p Stop is set. */
  awaitable<void> run(const std::atomic<bool> &Stop);

  /** Chooses the version for one request. Takes no lock. */
  chosen_version choose(const service_snapshot &Service) const;

  /** Records the result of a request whose version choose() returned. Callable
      from every thread. */
  static void report(const chosen_version &Chosen, const route_name &Route,
                     version_sample Sample, time_point Now);

  std::vector<move_summary> summaries() const;

private:
  using move_map = std::map<service_name, std::shared_ptr<running_move>>;

  void followDocuments();
  void tick(running_move &Move, time_point Now);
  void receive(const peer_sender &Sender, std::string_view Payload);
  void sendNews(const running_move &Move, const move_update &News);
  awaitable<void> writeRecord(std::shared_ptr<running_move> Move,
                              move_record Record);
  awaitable<void> readRecord(std::shared_ptr<running_move> Move);

  asio::io_context &Context;
  peer_network &Network;
  platform_client Platform;
  const service_directory &Services;
  const vm_directory &Vms;
  rcu_cell<move_map> Moves;
  component_log Log{"moves"};
};

} // namespace sesamepaddle

#endif
