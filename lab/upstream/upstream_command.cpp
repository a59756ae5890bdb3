#include "lab_command.h"
#include "sesamepaddle/net/http_server.h"
#include "upstream/upstream_stand_in.h"

#include <array>
#include <csignal>
#include <iostream>

namespace sesamepaddle {

namespace {

constexpr std::array<lab_option, 5> Options = {
    {{"listen", "127.0.0.1:0", "address to listen on"},
     {"name", "upstream", "name that answers contain"},
     {"delay-ms", "5", "time that a request runs, in ms"},
     {"fail-percent", "0", "percentage of requests answered with status 500"},
     {"slots", "4", "maximum number of concurrent requests; more are shed"}}};

} // namespace

int runUpstreamCommand(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Given = lab_options::parse(Arguments, Options, ExitCode);
  if (!Given)
    return ExitCode;
  const auto Address = parseEndpoint(Given->text("listen"));
  if (!Address.ok()) {
    std::cerr << Address.status().message() << "\n";
    return 2;
  }
  asio::io_context Context(1);
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait(
      [&](const boost::system::error_code &, int) { Context.stop(); });
  upstream_stand_in StandIn(
      Context,
      {Given->text("name"),
       std::chrono::milliseconds(static_cast<long>(Given->number("delay-ms"))),
       static_cast<int>(Given->number("slots")),
       static_cast<unsigned>(Given->number("fail-percent"))});
  try {
    const auto Bound = StandIn.listen(*Address);
    std::cout << "ready " << formatEndpoint(Bound) << std::endl;
  } catch (const boost::system::system_error &Error) {
    std::cerr << Error.what() << "\n";
    return 1;
  }
  Context.run();
  return 0;
}

} // namespace sesamepaddle
