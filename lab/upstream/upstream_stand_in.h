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

/** Settings of the stand-in from its command line. */
struct upstream_settings {
  std::string Name;
  std::chrono::milliseconds Delay{0}; ///< how long a request runs
  int Slots = 0;                      ///< more requests than these are shed
  unsigned FailPercent = 0;           ///< requests answered with status 500
};

/** One endpoint of an upstream, on one thread.

    Answers every request with what arrived. GET /load tells how many requests
    run, GET /runs how many ran in all and for each identifier, and POST /faults
    sets what goes wrong; "silence_open" makes all open connections swallow
    whatever comes, while new ones work.
*/
class upstream_stand_in {
public:
  upstream_stand_in(asio::io_context &Context, upstream_settings Settings);

  /** Binds @p Address and accepts. @returns the address that was bound. */
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
  std::uint64_t LastSilentConnection =
      0; ///< connections up to this number are silent
  int Running = 0;
};

} // namespace sesamepaddle

#endif
