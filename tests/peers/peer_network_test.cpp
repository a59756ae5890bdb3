#include "sesamepaddle/peers/peer_network.h"

#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/net/worker_pool.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace sesamepaddle;

namespace {

constexpr std::string_view Secret = "secret of the test";
constexpr std::chrono::seconds Bound{10};

/** @returns a local address whose port was free a moment ago. */
std::string reserveAddress() {
  asio::io_context Context;
  const tcp::acceptor Acceptor(Context,
                               {asio::ip::make_address("127.0.0.1"), 0});
  return formatEndpoint(Acceptor.local_endpoint());
}

/** Polls until @p Condition holds or Bound has passed. @returns its last
    value. */
bool eventually(const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + Bound;
  while (!Condition() && std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  return Condition();
}

/** A peer_network on its own thread, with the Documents messages it
    received. */
struct test_peer {
  explicit test_peer(const std::string &Name,
                     std::string_view PeerSecret = Secret)
      : Address(reserveAddress()) {
    peer_network_options Options;
    Options.ListenAddress = Address;
    Options.Self = {vm_name(Name), incarnation{7}};
    Options.FailureDomain = failure_domain_name("lima-a");
    Options.Secret = PeerSecret;
    Options.MaxFrameBytes = 1024;
    Options.ConnectTimeout = std::chrono::milliseconds(300);
    Options.AcknowledgementTimeout = std::chrono::milliseconds(300);
    Network = std::move(*peer_network::start(Pool.context(0), Options));
    Network->receive(
        peer_message_kind::Documents,
        [this](const peer_sender &Sender, std::string_view Payload) {
          const std::lock_guard Lock(Mutex);
          Received.push_back(Sender.Identity.Name.str() + ":" +
                             std::string(Payload));
        });
  }

  ~test_peer() { Pool.stop(); }

  std::size_t count() {
    const std::lock_guard Lock(Mutex);
    return Received.size();
  }

  std::string last() {
    const std::lock_guard Lock(Mutex);
    return Received.empty() ? "" : Received.back();
  }

  std::string Address;
  std::mutex Mutex;
  std::vector<std::string> Received;
  worker_pool Pool{1};
  std::unique_ptr<peer_network> Network;
};

tcp::socket connectTo(asio::io_context &Context, const std::string &Address) {
  tcp::socket Socket(Context);
  Socket.connect(*parseEndpoint(Address));
  return Socket;
}

/** @returns the bytes received until the other end closes. */
std::string readToEnd(tcp::socket &Socket) {
  std::string Bytes;
  boost::system::error_code Error;
  asio::read(Socket, asio::dynamic_buffer(Bytes), Error);
  return Bytes;
}

} // namespace

TEST_CASE("VMs that share a secret exchange messages") {
  test_peer First("vm-1");
  test_peer Second("vm-2");

  SUBCASE("in order, with the authenticated name of the sender") {
    for (const char *Text : {"one", "two", "three"})
      First.Network->send(Second.Address, peer_message_kind::Documents, Text);
    CHECK(eventually([&] { return Second.count() == 3; }));
    CHECK(Second.last() == "vm-1:three");
  }

  SUBCASE(
      "and continue after a connection without acknowledgements was closed") {
    First.Network->send(Second.Address, peer_message_kind::Documents, "before");
    REQUIRE(eventually([&] { return Second.count() == 1; }));
    std::atomic<bool> Frozen{true};
    asio::post(Second.Pool.context(0), [&] {
      while (Frozen.load())
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    });
    First.Network->send(Second.Address, peer_message_kind::Documents, "lost");
    // Longer than the AcknowledgementTimeout of 300 ms.
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    Frozen.store(false);
    CHECK(eventually([&] {
      First.Network->send(Second.Address, peer_message_kind::Documents,
                          "after");
      return Second.last() == "vm-1:after";
    }));
  }

  SUBCASE("and a frame beyond the limit closes only its own connection") {
    First.Network->send(Second.Address, peer_message_kind::Documents,
                        std::string(4096, 'x'));
    CHECK(eventually([&] {
      First.Network->send(Second.Address, peer_message_kind::Documents,
                          "short");
      return Second.last() == "vm-1:short";
    }));
  }
}

TEST_CASE("a client without the secret can neither send nor receive messages") {
  test_peer Vm("vm-1");
  asio::io_context Context;

  SUBCASE("a VM with another secret is rejected") {
    test_peer Stranger("vm-2", "another secret");
    Stranger.Network->send(Vm.Address, peer_message_kind::Documents, "hello");
    CHECK(eventually([&] { return Vm.Network->counts().Rejected > 0; }));
    CHECK(Vm.count() == 0);
  }

  SUBCASE("malformed input closes the connection") {
    auto Socket = connectTo(Context, Vm.Address);
    asio::write(Socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    // At most the greeting: the protocol's name, its version and a nonce.
    CHECK(readToEnd(Socket).size() < 64);
    CHECK(eventually([&] { return Vm.Network->counts().Rejected == 1; }));
  }

  SUBCASE("another protocol version is rejected") {
    auto Socket = connectTo(Context, Vm.Address);
    // An array of seven fields: name, version 99, and five empty ones.
    const std::string Hello("\x97\xb1sesamepaddle-peer\x63\xa0\x00\xa0\xa0\xa0",
                            25);
    const std::string Length("\x00\x00\x00\x19", 4);
    asio::write(Socket, asio::buffer(Length + Hello));
    CHECK(readToEnd(Socket).size() < 64);
    CHECK(eventually([&] { return Vm.Network->counts().Rejected == 1; }));
  }

  SUBCASE("a client that sends nothing is disconnected after the timeout") {
    auto Socket = connectTo(Context, Vm.Address);
    CHECK(readToEnd(Socket).size() < 64);
    CHECK(eventually([&] { return Vm.Network->counts().Rejected == 1; }));
  }

  SUBCASE("a silent client does not block other VMs") {
    auto Silent = connectTo(Context, Vm.Address);
    test_peer Other("vm-2");
    Other.Network->send(Vm.Address, peer_message_kind::Documents, "hello");
    CHECK(eventually([&] { return Vm.last() == "vm-2:hello"; }));
  }
}
