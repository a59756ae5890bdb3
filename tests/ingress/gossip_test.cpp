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

/** Another VM, played by the test. */
class played_vm {
public:
  played_vm() : Socket(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    Socket.non_blocking(true);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Socket.local_endpoint().port());
  }

  /** @returns the messages that have come, and sets who sent the last. */
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

  udp::endpoint Sender;

private:
  asio::io_context Context;
  udp::socket Socket;
};

} // namespace

TEST_CASE("VMs near and far are told the same demand") {
  played_vm Near;
  played_vm Far;
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
  // Until the far VM has been told of some demand more than once.
  for (int Number = 0; ToFar.size() < 4; ++Number) {
    Fixture.get("/checks/1", "r" + std::to_string(Number));
    std::this_thread::sleep_for(milliseconds(20));
    // The near one first: what is told to all has then reached the far one.
    const auto TakeAll = [](played_vm &Vm, std::set<demand> &Told,
                            std::size_t &Count) {
      for (const auto &Message : Vm.receive()) {
        Told.insert(Message.Demand);
        ++Count;
      }
    };
    TakeAll(Near, ToNear, NearMessages);
    TakeAll(Far, ToFar, FarMessages);
    Near.introduce("vm-2", "lima", Near.Sender);
    Far.introduce("vm-3", "cusco", Near.Sender);
  }
  for (const auto &Demand : ToNear)
    CHECK(ToFar.contains(Demand));
  // Messages to the region are more frequent.
  CHECK(NearMessages > FarMessages);
}
