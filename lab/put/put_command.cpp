#include "lab_command.h"
#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/net/http_server.h"

#include <array>
#include <iostream>
#include <optional>

namespace sesamepaddle {

namespace {

constexpr std::array<lab_option, 4> Options = {
    {{"address", "127.0.0.1:0", "where to send the request"},
     {"method", "POST", "HTTP method"},
     {"target", "/", "path and query of the request"},
     {"body", "", "body of the request"}}};

} // namespace

int runPutCommand(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Given = lab_options::parse(Arguments, Options, ExitCode);
  if (!Given)
    return ExitCode;
  const auto Address = parseEndpoint(Given->text("address"));
  if (!Address.ok()) {
    std::cerr << Address.status().message() << "\n";
    return 2;
  }
  http_request Request;
  Request.Method = Given->text("method");
  Request.Target = Given->text("target");
  Request.Body = Given->text("body");
  asio::io_context Context(1);
  http_client Client;
  std::optional<absl::StatusOr<http_reply>> Reply;
  asio::co_spawn(Context, Client.call(*Address, Request),
                 [&](const std::exception_ptr &, auto Result) {
                   Reply = std::move(Result);
                 });
  Context.run();
  if (!Reply || !Reply->ok()) {
    std::cerr << "the server did not answer\n";
    return 1;
  }
  std::cout << (*Reply)->Body;
  return (*Reply)->Status < 300 ? 0 : 1;
}

} // namespace sesamepaddle
