#ifndef SESAMEPADDLE_TESTS_RATE_LIMITING_SHARE_SIMULATION_H
#define SESAMEPADDLE_TESTS_RATE_LIMITING_SHARE_SIMULATION_H

#include "rate_limiting/bucket_oracle.h"
#include "sesamepaddle/rate_limiting/rate_limiting.h"
#include "sim/event_queue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sesamepaddle {

/** An event that a script injects into the VMs, the network or the platform. */
enum class fault_kind {
  Kill,
  Restart,
  Freeze,    ///< the process stops running but keeps its state
  Thaw,      ///< a frozen process runs again and handles what it missed
  CutDomain, ///< isolates the VM's failure domain, also from the platform
  HealDomain,
  PlatformDown,
  PlatformUp,
  LoseAnswers, ///< VMs learn the result of a commit only at the next poll
  KeepAnswers,
  LowerLimit,
  RaiseLimit,
  LossyNetwork,
  GoodNetwork,
  Rest,   ///< no VM spends tokens
  Resume, ///< all VMs spend all the tokens that they get
  Rush,   ///< all VMs request the whole burst and spend it together
  Wait,
};
constexpr int FaultKinds = static_cast<int>(fault_kind::Wait) + 1;

/** One step of a script. */
struct fault_step {
  fault_kind Kind;
  std::size_t Vm;                  ///< index of the VM that the event affects
  std::chrono::milliseconds Pause; ///< until the next step
};

/** Simulates VMs that share one limit and spend all the tokens they get, with
    faults injected into the VMs, the platform and the network. An oracle checks
    that the tokens spent stay within the limit. */
class share_simulation {
public:
  share_simulation(share_rules Rules, std::uint64_t Seed);
  ~share_simulation();
  share_simulation(const share_simulation &) = delete;
  share_simulation &operator=(const share_simulation &) = delete;

  /** Runs a script, with a quiet period before and after it.
      @returns false when a violation was found. */
  bool run(const std::vector<fault_step> &Script);

  /** @returns the first violation, or an empty string. */
  const std::string &violation() const { return Violation; }

  double tokensTaken() const { return Taken; }

private:
  struct vm;
  struct ledger_row {
    std::uint64_t Revision = 1;
    domain_ledger Ledger;
  };

  void runFor(duration Time);
  void rush();
  void apply(const fault_step &Step);
  void start(vm &Vm);
  void kill(vm &Vm);
  void thaw(vm &Vm);
  void changeLimit(limit_shape Shape);
  void adoptLimit(vm &Vm);
  limit_shape strongestLimit();

  time_point localTime(const vm &Vm) const;
  duration randomDelay();
  bool chance(double Probability);
  bool isCut(std::size_t FirstDomain, std::size_t SecondDomain) const;
  void onProcess(vm &Vm, std::uint64_t Process, std::function<void()> Event);

  void scheduleHeartbeat(vm &Vm, std::uint64_t Process);
  void scheduleSpend(vm &Vm, std::uint64_t Process);
  void schedulePoll(vm &Vm, std::uint64_t Process);
  void updatePeers(vm &Vm);
  void spend(vm &Vm);
  void spendBatch(vm &Vm, const token_batch &Batch);
  void flush(vm &Vm);
  void deliver(std::size_t From, std::size_t To, const vm_identity &Sender,
               const share_message &Message);
  void pollPlatform(vm &Vm);
  void answerPoll(vm &Vm, const ledger_row &Row,
                  const std::set<vm_name> &Listed);
  void commit(std::size_t Domain, std::uint64_t Revision,
              const domain_ledger &Wanted);
  std::set<vm_name> listVms() const;
  void checkConservation();
  void report(std::string Text);

  share_rules Rules;
  std::mt19937_64 Random;
  event_queue Queue;
  bucket_oracle Oracle;
  std::vector<std::unique_ptr<vm>> Vms;
  std::vector<ledger_row> Rows;
  std::vector<bool> IsDomainCut;
  limit_shape Limit;
  /** Limits that a VM used before, each with the time at which it stopped. */
  std::vector<std::pair<time_point, limit_shape>> OldLimits;
  bool IsPlatformUp = true;
  bool LosesAnswers = false;
  bool IsResting = false;
  bool IsNoisy = false; ///< whether a fault was injected
  double Loss = 0;
  double Taken = 0;
  std::uint64_t LastProcess = 0;
  std::string Violation;
};

} // namespace sesamepaddle

#endif
