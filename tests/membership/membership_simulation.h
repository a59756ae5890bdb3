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

/** VMs that exchange messages over links that lose, delay and repeat them; the
    clock is the test's. It knows the truth that views are compared with. */
class membership_simulation {
public:
  membership_simulation(std::size_t Domains, std::size_t VmsPerDomain,
                        std::uint64_t Seed);

  void start(std::size_t Vm);
  void crash(std::size_t Vm);
  void leave(std::size_t Vm);
  void freeze(std::size_t Vm) { Vms[Vm].IsFrozen = true; }
  void thaw(std::size_t Vm);
  /** Lets a frozen VM go on whose connections died meanwhile. */
  void thawWithoutInbox(std::size_t Vm);
  void cut(std::size_t First, std::size_t Second);
  void cutDomain(std::size_t Domain);
  void healAll() { Cuts.clear(); }
  void setLoss(unsigned Percent) { LossPercent = Percent; }

  /** Lets time pass in steps of 100 ms and checks the views at each.
      @returns what is wrong, or nothing. */
  std::optional<std::string> advance(std::chrono::milliseconds Time);

  /** @returns the view of a VM: the state of each incarnation. */
  std::map<incarnation, member_state> viewOf(std::size_t Vm) const;

  /** @returns what differs between the views and the truth, or nothing. */
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
    std::set<incarnation> SeenLeaving;
    std::vector<std::string> Inbox; ///< while frozen
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
