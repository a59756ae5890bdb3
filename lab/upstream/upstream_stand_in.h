#ifndef SESAMEPADDLE_LAB_UPSTREAM_UPSTREAM_STAND_IN_H
#define SESAMEPADDLE_LAB_UPSTREAM_UPSTREAM_STAND_IN_H

#include "upstream/upstream_faults.h"

#include "sesamepaddle/net/asio.h"
#include "sesamepaddle/net/http_message.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sesamepaddle {

/** Settings of the stand-in, given on its command line. */
struct upstream_settings {
  std::string Name;
  std::chrono::milliseconds Delay{0}; ///< time that a request runs
  int Slots = 0;            ///< maximum of concurrent requests; more are shed
  unsigned FailPercent = 0; ///< percentage answered with status 500
};

/** Stand-in for one endpoint of an upstream, on one thread.

    Answers each request with a JSON description of that request. GET /load
    returns the number of requests in progress, GET /runs the number of requests
    that ran, in total and per identifier. POST /faults sets the faults to
    inject; its "silence_open" makes all connections that are open ignore
    whatever they receive, while new ones work.
*/
class upstream_stand_in {
public:
  upstream_stand_in(asio::io_context &Context, upstream_settings Settings);

  /** Binds @p Address and accepts connections.
      @returns the bound address. Throws boost::system::system_error when it
      can't bind. */
  tcp::endpoint listen(const tcp::endpoint &Address);

private:
  struct connection;

  awaitable<void> acceptAll();
  awaitable<void> serve(std::shared_ptr<connection> Connection);
  awaitable<bool> serveOne(connection &Connection, const http_request &Request);
  awaitable<bool> run(connection &Connection, const http_request &Request);
  awaitable<bool> sendFaulty(connection &Connection, upstream_fault Fault,
                             const std::string &Wire) const;
  http_reply setFaults(const http_request &Request);

  /** @returns the fault of the next request, and counts down Faults.Count. */
  upstream_fault takeFault();

  std::string describe(const http_request &Request) const;
  std::string describeRuns() const;
  std::string describeLoad() const;

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  upstream_settings Settings;
  upstream_faults Faults;
  std::map<std::string, std::uint64_t> RunsByIdentifier;
  std::uint64_t Runs = 0;
  std::uint64_t Connections = 0;
  /** Connections up to this number ignore whatever they receive. */
  std::uint64_t LastSilentConnection = 0;
  int Running = 0;
};

} // namespace sesamepaddle

#endif
