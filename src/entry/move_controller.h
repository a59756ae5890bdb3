#ifndef SESAMEPADDLE_ENTRY_MOVE_KEEPER_H
#define SESAMEPADDLE_ENTRY_MOVE_KEEPER_H

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

/** A move that is part of a document in force. */
struct running_move;

/** The version that runs one request. */
struct chosen_version {
  version_name Version;
  bool IsNew = false;
  double NewShare = 0;
  std::shared_ptr<running_move> Move; ///< null: nothing to report
};

/** What status says of a move. */
struct move_summary {
  service_name Service;
  version_name To;
  std::string State;
  double Share = 0;
};

/** Runs the moves of the documents in force: chooses versions, takes evidence,
    tells peers and writes the outcome. */
class move_controller {
public:
  move_controller(asio::io_context &Context, peer_network &Network,
                  platform_client Platform, const service_directory &Services,
                  const vm_directory &Vms);

  /** Ticks until @p Stop is set. */
  awaitable<void> run(const std::atomic<bool> &Stop);

  /** Chooses the version for one request; takes no lock. */
  chosen_version choose(const service_snapshot &Service) const;

  /** Takes the end of a request that choose() was asked for. Safe from every
      thread. */
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
  part_log Log{"moves"};
};

} // namespace sesamepaddle

#endif
