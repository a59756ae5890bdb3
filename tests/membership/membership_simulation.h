#ifndef SESAMEPADDLE_TESTS_MEMBERSHIP_MEMBERSHIP_SIMULATION_H
#define SESAMEPADDLE_TESTS_MEMBERSHIP_MEMBERSHIP_SIMULATION_H

#include "sesamepaddle/membership/membership.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Simulates VMs that run membership_protocol over links that lose, delay and
    duplicate messages, on a simulated clock. VMs are numbered from 0, domain by
    domain. */
class membership_simulation {
public:
  membership_simulation(std::size_t Domains, std::size_t VmsPerDomain,
                        std::uint64_t Seed);

  /** Starts the VM as a new incarnation, with all VMs in the platform's
      list. */
  void start(std::size_t Vm);
  void crash(std::size_t Vm);
  void leave(std::size_t Vm);
  /** Stops the VM's ticks; messages wait in its inbox. */
  void freeze(std::size_t Vm) { Vms[Vm].IsFrozen = true; }
  /** Resumes a frozen VM, which receives the messages that waited. */
  void thaw(std::size_t Vm);
  /** Resumes a frozen VM without the messages that waited, as if its
      connections had been closed meanwhile. */
  void thawWithoutInbox(std::size_t Vm);
  /** Drops all messages between two VMs, until healAll(). */
  void cut(std::size_t First, std::size_t Second);
  /** Cuts the failure domain of @p Vm off from all others. */
  void cutDomain(std::size_t Vm);
  void healAll() { Cuts.clear(); }
  void setLoss(unsigned Percent) { LossPercent = Percent; }

  /** Advances the clock in steps of 100 ms. After each step it checks that no
      VM shows a VM in another state once it has shown it as Leaving.
      @returns a description of the error, or nothing. */
  std::optional<std::string> advance(std::chrono::milliseconds Time);

  /** @returns the state of each incarnation in the view of @p Vm. */
  std::map<incarnation, member_state> viewOf(std::size_t Vm) const;

  /** Checks that each VM that runs and has not left shows exactly these VMs as
      live.
      @returns a description of the first difference, or nothing. */
  std::optional<std::string> compareWithTruth() const;

  std::size_t size() const { return Vms.size(); }
  bool isRunning(std::size_t Vm) const { return Vms[Vm].Protocol != nullptr; }
  bool isFrozen(std::size_t Vm) const { return Vms[Vm].IsFrozen; }
  incarnation incarnationOf(std::size_t Vm) const {
    return Vms[Vm].Incarnation;
  }
  const membership_protocol &protocol(std::size_t Vm) const {
    return *Vms[Vm].Protocol;
  }
  time_point now() const { return Now; }
  std::uint64_t bytesSent() const { return Bytes; }

private:
  struct vm {
    member_address Address;
    incarnation Incarnation{};
    std::unique_ptr<membership_protocol> Protocol;
    bool IsFrozen = false;
    bool HasLeft = false;
    std::set<incarnation> SeenLeaving; ///< once shown as Leaving in its view
    std::vector<std::string> Inbox;    ///< messages received while frozen
  };
  struct message {
    std::size_t From;
    std::size_t To;
    std::string Payload;
  };

  void send(std::size_t From, const std::string &Address, std::string Payload);
  void deliver();
  std::optional<std::string> checkLeaving();

  std::vector<vm> Vms;
  std::map<std::string, std::size_t> VmByAddress;
  std::multimap<time_point, message> InFlight;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  std::mt19937_64 Random;
  time_point Now{std::chrono::hours(1)};
  unsigned LossPercent = 0;
  std::uint64_t NextIncarnation = 1;
  std::uint64_t Bytes = 0;
};

} // namespace sesamepaddle

#endif
