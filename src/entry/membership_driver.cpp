#include "entry/membership_driver.h"

#include "sesamepaddle/core/text.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <random>
#include <utility>

namespace sesamepaddle {

namespace {

// Interval between calls of membership_protocol::tick().
constexpr std::chrono::milliseconds TickInterval{100};

// The view is recomputed when a member's state changes, and also at this
// interval to detect failure domains that went silent. It is not recomputed on
// every tick, since that costs about 1 ms at 810 VMs.
constexpr std::chrono::milliseconds RefreshInterval{1'000};

// Number of VMs per failure domain that poll the platform on behalf of the
// others. It is two, so that a poller that crashes or freezes doesn't delay
// documents.
constexpr std::ptrdiff_t PollersPerDomain = 2;

bool isOtherLiveVm(const member &Member, const member_address &Self) {
  return Member.State == member_state::Live && Member.Address.Name != Self.Name;
}

} // namespace

membership_driver::membership_driver(asio::io_context &Context,
                                     peer_network &Network, vm_directory &Vms,
                                     const member_address &Self,
                                     incarnation Incarnation)
    : Context(Context), Network(Network), Vms(Vms), Self(Self),
      Protocol(Self, Incarnation, membership_options(), std::random_device()(),
               [&Network](const std::string &Address, std::string Payload) {
                 Network.send(Address, peer_message_kind::Membership,
                              std::move(Payload));
               }) {
  Network.receive(peer_message_kind::Membership,
                  [this](const peer_sender &Sender, std::string_view Payload) {
                    const auto Status =
                        Protocol.receive(Payload, boot_clock::now());
                    if (!Status.ok())
                      Log.warn(absl::StrCat("malformed message from ",
                                            Sender.Identity.Name.str(), ": ",
                                            Status.message()));
                    refresh();
                  });
}

awaitable<void> membership_driver::run(const std::atomic<bool> &Stop) {
  asio::steady_timer Timer(Context);
  while (!Stop.load()) {
    Protocol.tick(boot_clock::now());
    refresh();
    if (OnTick)
      OnTick();
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

void membership_driver::setList(std::span<const listed_vm> Listed) {
  std::vector<listed_member> List;
  for (const auto &Vm : Listed)
    List.push_back({{Vm.Name, Vm.Region, Vm.FailureDomain, Vm.CallerAddress,
                     Vm.PeerAddress},
                    Vm.IsLeaving});
  Protocol.setList(std::move(List));
}

void membership_driver::leave() {
  asio::post(Context, [this] { Protocol.leave(boot_clock::now()); });
}

void membership_driver::refresh() {
  const time_point Now = boot_clock::now();
  if (Protocol.revision() == SeenRevision && Now < NextRefresh)
    return;
  SeenRevision = Protocol.revision();
  NextRefresh = Now + RefreshInterval;
  Members = Protocol.view(Now);
  logChanges();
  updateDirectory();
}

replication_peers membership_driver::spreadPeers() const {
  const time_point Now = boot_clock::now();
  replication_peers Peers;
  for (const auto &Member : Members) {
    if (!isOtherLiveVm(Member, Self))
      continue;
    const auto &Address = Member.Address;
    if (Address.FailureDomain == Self.FailureDomain)
      Peers.OwnDomain.push_back(Address.PeerAddress);
    else
      Peers.OtherDomains[Address.FailureDomain].push_back(Address.PeerAddress);
  }
  Peers.AreAllDomainsHeard =
      std::ranges::all_of(Protocol.silences(Now), &domain_silence::IsHeard);
  return Peers;
}

bool membership_driver::isPoller() const {
  const auto PollersBefore =
      std::ranges::count_if(Members, [this](const auto &Member) {
        return isOtherLiveVm(Member, Self) &&
               Member.Address.FailureDomain == Self.FailureDomain &&
               Member.Address.Name < Self.Name;
      });
  return PollersBefore < PollersPerDomain;
}

// Callers are sent to live VMs, and to VMs in the platform's list that no VM
// has heard from yet. They are not sent to VMs that are leaving or suspected.
void membership_driver::updateDirectory() {
  std::vector<entry_candidate> Others;
  for (const auto &[Address, Incarnation, State] : Members)
    Others.push_back(
        {Address.Name, Address.Region, Address.FailureDomain,
         Address.CallerAddress, Address.PeerAddress,
         State == member_state::Leaving || State == member_state::Suspected});
  Vms.update(std::move(Others));
}

void membership_driver::logChanges() {
  for (const auto &Member : Members) {
    const auto Known = KnownStates.find(Member.Address.Name);
    if (Known != KnownStates.end() && Known->second == Member.State)
      continue;
    KnownStates[Member.Address.Name] = Member.State;
    Log.info(absl::StrCat(Member.Address.Name.str(), " is ",
                          toAbsl(memberStateName(Member.State))));
  }
}

} // namespace sesamepaddle
