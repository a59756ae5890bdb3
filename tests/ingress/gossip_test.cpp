#include "ingress/gossip_message.h"
#include "ingress/ingress_fixture.h"

#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <array>
#include <set>
#include <string>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;
using udp = asio::ip::udp;

namespace {

scripted_answer answerWhole(const std::string &Request) {
  return {makeAnswer(Request, "whole"), "", false, false, milliseconds(0)};
}

/** Another VM, simulated by the test: a socket that speaks the gossip protocol.
 */
class simulated_vm {
public:
  simulated_vm() : Socket(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    Socket.non_blocking(true);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Socket.local_endpoint().port());
  }

  /** @returns the messages received since the last call; sets Sender to the
      source of the latest. */
  std::vector<gossip_message> receive() {
    std::vector<gossip_message> Messages;
    std::array<char, 65'536> Bytes{};
    boost::system::error_code Error;
    while (!Error) {
      const auto Size =
          Socket.receive_from(asio::buffer(Bytes), Sender, 0, Error);
      if (Error)
        break;
      if (auto Message = decodeGossip({Bytes.data(), Size}))
        Messages.push_back(std::move(*Message));
    }
    return Messages;
  }

  /** Sends a message that describes this VM as ready. */
  void introduce(const std::string &Name, const std::string &Region,
                 const udp::endpoint &To) {
    gossip_message Message;
    Message.Name = Name;
    Message.Region = Region;
    Message.FailureDomain = Region + "-a";
    Message.GossipAddress = address();
    Message.IsReady = true;
    Socket.send_to(asio::buffer(encodeGossip(Message)), To);
  }

  /** Sends @p Message to the VM that sent the latest one. */
  void send(const gossip_message &Message) {
    Socket.send_to(asio::buffer(encodeGossip(Message)), Sender);
  }

  udp::endpoint Sender;

private:
  asio::io_context Context;
  udp::socket Socket;
};

} // namespace

// The VMs' parts of a limit add up to the whole only while all VMs know the
// same demand. Near VMs get more messages than far ones; the additional
// messages must not contain a demand that far VMs do not receive.
TEST_CASE("near and far VMs receive the same demand") {
  simulated_vm Near;
  simulated_vm Far;
  ingress_fixture Fixture({answerWhole}, [&](ingress_options &Options) {
    Options.Vm.SeedGossipAddresses = {Near.address()};
  });
  while (Near.receive().empty())
    std::this_thread::sleep_for(milliseconds(10));
  Near.introduce("vm-2", "lima", Near.Sender);
  Far.introduce("vm-3", "cusco", Near.Sender);
  using demand = std::map<std::uint32_t, std::uint32_t>;
  std::set<demand> ToNear;
  std::set<demand> ToFar;
  std::size_t NearMessages = 0;
  std::size_t FarMessages = 0;
  // Until the far VM has received four different demands.
  for (int Number = 0; ToFar.size() < 4; ++Number) {
    Fixture.get("/checks/1", "r" + std::to_string(Number));
    std::this_thread::sleep_for(milliseconds(20));
    // Reads the near VM first: a demand that was sent to all VMs has then
    // reached the far VM as well.
    const auto ReceiveAll = [](simulated_vm &Vm, std::set<demand> &Received,
                               std::size_t &Count) {
      for (const auto &Message : Vm.receive()) {
        Received.insert(Message.Demand);
        ++Count;
      }
    };
    ReceiveAll(Near, ToNear, NearMessages);
    ReceiveAll(Far, ToFar, FarMessages);
    Near.introduce("vm-2", "lima", Near.Sender);
    Far.introduce("vm-3", "cusco", Near.Sender);
  }
  for (const auto &Demand : ToNear)
    CHECK(ToFar.contains(Demand));
  // Near VMs receive messages more often.
  CHECK(NearMessages > FarMessages);
}

// All VMs of a fleet start together and ask each other for a message. If all
// replies named all VMs, their bytes would grow with the cube of the fleet.
TEST_CASE("a VM that knows the others is not told their names again") {
  simulated_vm Asker;
  ingress_fixture Fixture({answerWhole}, [&](ingress_options &Options) {
    Options.Vm.SeedGossipAddresses = {Asker.address()};
  });
  while (Asker.receive().empty())
    std::this_thread::sleep_for(milliseconds(10));
  constexpr std::uint32_t FleetSize = 8;
  Fixture.onVm([](fleet_state &Fleet) {
    for (std::uint32_t Number = 0; Number < FleetSize; ++Number) {
      known_vm Vm;
      Vm.Name = vm_name("other-" + std::to_string(Number));
      Vm.GossipAddress = "127.0.0.1:9";
      Fleet.learnVm(std::move(Vm));
    }
    return true;
  });
  const auto Ask = [&](std::uint32_t KnownVms) {
    gossip_message Message;
    Message.Name = "asker";
    Message.Region = "lima";
    Message.GossipAddress = Asker.address();
    Message.WantsReply = true;
    Message.KnownVms = KnownVms;
    Asker.send(Message);
    std::size_t Named = 0;
    const auto Start = boot_clock::now();
    while (boot_clock::now() - Start < milliseconds(300)) {
      for (const auto &Reply : Asker.receive())
        Named += Reply.Vms.size();
      std::this_thread::sleep_for(milliseconds(10));
    }
    return Named;
  };
  CHECK(Ask(FleetSize) == 0);
  CHECK(Ask(0) >= FleetSize);
}
