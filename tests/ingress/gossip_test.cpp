#include "ingress/gossip_message.h"
#include "ingress/ingress_fixture.h"

#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>
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

  /** @returns the asks for tokens received since the last call. */
  std::vector<token_message> receiveTokens() {
    std::vector<token_message> Messages;
    std::array<char, 65'536> Bytes{};
    boost::system::error_code Error;
    while (!Error) {
      const auto Size =
          Socket.receive_from(asio::buffer(Bytes), Sender, 0, Error);
      if (Error)
        break;
      if (auto Message = decodeTokens({Bytes.data(), Size}))
        Messages.push_back(std::move(*Message));
    }
    return Messages;
  }

  /** Sends a message that describes this VM as ready.
      @param Cores  in hundredths */
  void introduce(const std::string &Name, const std::string &Region,
                 const udp::endpoint &To, std::uint32_t Cores = 0) {
    gossip_message Message;
    Message.Cores = Cores;
    Message.UptimeMs = 60'000;
    Message.Name = Name;
    Message.Region = Region;
    Message.FailureDomain = Region + "-a";
    Message.GossipAddress = address();
    Message.IsReady = true;
    Socket.send_to(asio::buffer(encodeGossip(Message)), To);
  }

  void send(const token_message &Message) {
    Socket.send_to(asio::buffer(encodeTokens(Message)), Sender);
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

TEST_CASE("near VMs receive messages more often than far ones") {
  simulated_vm Near;
  simulated_vm Far;
  ingress_fixture Fixture({answerWhole}, [&](ingress_options &Options) {
    Options.Vm.SeedGossipAddresses = {Near.address()};
  });
  while (Near.receive().empty())
    std::this_thread::sleep_for(milliseconds(10));
  Near.introduce("vm-2", "lima", Near.Sender);
  Far.introduce("vm-3", "cusco", Near.Sender);
  std::size_t NearMessages = 0;
  std::size_t FarMessages = 0;
  while (FarMessages < 4) {
    std::this_thread::sleep_for(milliseconds(20));
    NearMessages += Near.receive().size();
    FarMessages += Far.receive().size();
    Near.introduce("vm-2", "lima", Near.Sender);
    Far.introduce("vm-3", "cusco", Near.Sender);
  }
  CHECK(NearMessages > FarMessages);
}

// The simulated VM has far more processor time, so it makes the tokens.
TEST_CASE("a VM admits no more requests than the home of a limit grants") {
  simulated_vm Home;
  ingress_fixture Fixture({answerWhole}, [&](ingress_options &Options) {
    Options.Vm.SeedGossipAddresses = {Home.address()};
  });
  while (Home.receive().empty())
    std::this_thread::sleep_for(milliseconds(10));
  // Answers asks with the next of these grants, then with refusals.
  std::vector<float> Grants;
  int CopiesOfAnswer = 1;
  std::string Sender = "vm-2";
  std::size_t Asks = 0;
  std::atomic<bool> IsDone = false;
  std::thread Answering([&] {
    auto NextIntroduction = boot_clock::now();
    std::size_t Answered = 0;
    while (!IsDone) {
      if (boot_clock::now() >= NextIntroduction) {
        Home.introduce("vm-2", "lima", Home.Sender, 400);
        NextIntroduction += milliseconds(200);
      }
      for (const auto &Ask : Home.receiveTokens()) {
        ++Asks;
        auto Answer = Ask;
        Answer.IsGrant = true;
        Answer.Sender = Sender;
        Answer.IsHome = true;
        Answer.Tokens = Answered < Grants.size() ? Grants[Answered] : 0;
        Answer.RefuseForMs = 1'000;
        ++Answered;
        for (int Copy = 0; Copy < CopiesOfAnswer; ++Copy)
          Home.send(Answer);
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
  });
  const auto CountAdmitted = [&](int Requests) {
    // The VM has heard of the home by now.
    while (Fixture.onVm([](fleet_state &Fleet) {
      return Fleet.vms().empty() ||
             !Fleet.isHeard(Fleet.vms().begin()->second, boot_clock::now());
    }))
      std::this_thread::sleep_for(milliseconds(10));
    std::this_thread::sleep_for(milliseconds(300));
    int Admitted = 0;
    for (int Number = 0; Number < Requests; ++Number) {
      const auto Reply = Fixture.get("/checks/1", "r" + std::to_string(Number));
      Admitted += Reply.starts_with("HTTP/1.1 200 ") ? 1 : 0;
      const bool IsKnownStatus = Reply.starts_with("HTTP/1.1 200 ") ||
                                 Reply.starts_with("HTTP/1.1 429 ");
      CHECK(IsKnownStatus);
    }
    IsDone = true;
    Answering.join();
    return Admitted;
  };

  SUBCASE("one token a request, then refusals without further asks") {
    Grants = {1, 1, 1};
    const int Admitted = CountAdmitted(10);
    CHECK(Admitted >= 1);
    CHECK(Admitted <= 3);
    CHECK(Asks < 10);
  }

  SUBCASE("several tokens at once") {
    Grants = {3, 2};
    const int Admitted = CountAdmitted(10);
    CHECK(Admitted >= 2);
    CHECK(Admitted <= 5);
    CHECK(Asks < 10);
  }

  SUBCASE("an answer that arrives twice counts once") {
    Grants = {2, 1};
    CopiesOfAnswer = 3;
    CHECK(CountAdmitted(10) <= 3);
  }

  SUBCASE("an answer of another VM brings none") {
    Grants = {5, 5, 5};
    Sender = "vm-9";
    CHECK(CountAdmitted(3) == 0);
  }
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

TEST_CASE("a VM that starts is told which requests crash endpoints") {
  simulated_vm Peer;
  ingress_fixture Fixture({answerWhole}, [&](ingress_options &Options) {
    Options.Vm.SeedGossipAddresses = {Peer.address()};
  });
  while (Peer.receive().empty())
    std::this_thread::sleep_for(milliseconds(10));
  gossip_message Message;
  Message.Name = "vm-2";
  Message.Region = "lima";
  Message.GossipAddress = Peer.address();
  Message.Crashes = {{"f-1", "i-1", 0}, {"f-1", "i-2", 60'000}};
  Peer.send(Message);
  Message.Name = "vm-3";
  Message.Crashes.clear();
  Message.WantsReply = true;
  std::vector<gossip_crash> Told;
  const auto Start = boot_clock::now();
  while (Told.empty() &&
         boot_clock::now() - Start < ingress_fixture::LongWait) {
    Peer.send(Message);
    std::this_thread::sleep_for(milliseconds(20));
    for (auto &Reply : Peer.receive())
      if (!Reply.Crashes.empty())
        Told = std::move(Reply.Crashes);
  }
  REQUIRE(Told.size() == 2);
  CHECK(Told[0].Fingerprint == "f-1");
  CHECK(Told[1].Endpoint == "i-2");
  CHECK(Told[1].AgeMs >= 60'000);
}
