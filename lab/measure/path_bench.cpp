#include "measure/path_bench.h"

#include "lab_command.h"
#include "measure/sample_documents.h"
#include "sesamepaddle/core/failure.h"
#include "sesamepaddle/net/failures.h"
#include "sesamepaddle/net/http_client.h"
#include "sesamepaddle/platform/http_platform.h"
#include "sesamepaddle/telemetry/log.h"

#include "absl/strings/str_cat.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>

namespace sesamepaddle {

namespace {

constexpr std::chrono::seconds StartTimeout{20};
constexpr std::chrono::milliseconds RetryInterval{50};

/** @returns a loopback address with a port that is currently free. */
std::string freeAddress() {
  asio::io_context Context;
  const tcp::acceptor Acceptor(Context,
                               {asio::ip::make_address("127.0.0.1"), 0});
  return formatEndpoint(Acceptor.local_endpoint());
}

/** Runs @p Work to completion. @p Context must outlive the connections that
    @p Work keeps open. */
template <typename Result>
Result runToEnd(asio::io_context &Context, awaitable<Result> Work) {
  Context.restart();
  std::optional<Result> Value;
  asio::co_spawn(Context, std::move(Work),
                 [&](const std::exception_ptr &, Result Outcome) {
                   Value = std::move(Outcome);
                 });
  Context.run();
  return std::move(*Value);
}

/** Calls @p Succeeds until it returns true.
    @returns false after StartTimeout. */
template <typename Attempt> bool retry(Attempt Succeeds) {
  const auto Bound = std::chrono::steady_clock::now() + StartTimeout;
  while (std::chrono::steady_clock::now() < Bound) {
    if (Succeeds())
      return true;
    std::this_thread::sleep_for(RetryInterval);
  }
  return false;
}

} // namespace

path_bench::path_bench(std::size_t Workers)
    : PlatformAddress(freeAddress()), Entry(*parseEndpoint(freeAddress())) {
  configureLogs(log_level::Error, log_layout::Text);
  auto Server =
      http_server::start(UpstreamPool, "127.0.0.1:0",
                         [](const http_exchange &) -> awaitable<http_reply> {
                           co_return http_reply{200, {}, "forty aprons\n"};
                         });
  Upstream = std::move(*Server);
  startPlatform();
  SecretFile = std::filesystem::temp_directory_path() /
               absl::StrCat("sesamepaddle-bench-", Entry.port());
  std::ofstream(SecretFile) << "the secret of the bench's one VM, no other\n";
  yaml_errors Errors;
  const auto Settings = parseVmSettings(settingsText(Workers), "bench", Errors);
  if (!Settings)
    return;
  auto Started = entry_vm::start(*Settings);
  if (Started.ok())
    Vm = std::move(*Started);
}

path_bench::~path_bench() {
  if (Vm) {
    Vm->requestStop();
    Vm->waitUntilStopped();
    Vm.reset();
  }
  // runPlatformCommand() returns on a signal, because it usually runs as a
  // process of its own.
  std::raise(SIGTERM);
  Platform.join();
  std::error_code Ignored;
  std::filesystem::remove(SecretFile, Ignored);
}

absl::Status path_bench::waitUntilServing() {
  if (!Vm)
    return makeFailure(net_failure::ListenFailed, "the VM did not start");
  absl::Status Put = absl::OkStatus();
  if (!retry([&] { return (Put = putDocument()).ok(); }))
    return Put;
  http_request Request;
  Request.Target = std::string(BenchRepeatableTarget);
  Request.Headers = {{"Sesamepaddle-Key", std::string(BenchKey)}};
  const bool IsServing = retry([&] {
    asio::io_context Context(1);
    http_client Client;
    const auto Reply = runToEnd(Context, Client.call(Entry, Request));
    return Reply.ok() && Reply->Status == 200;
  });
  return IsServing ? absl::OkStatus()
                   : makeFailure(net_failure::Timeout, "the VM does not serve");
}

void path_bench::startPlatform() {
  Platform = std::thread([Address = PlatformAddress] {
    std::string Words[] = {"platform", "--listen", Address, "--list-lag-ms",
                           "0"};
    std::vector<char *> Arguments;
    for (auto &Word : Words)
      Arguments.push_back(Word.data());
    runPlatformCommand(Arguments);
  });
}

absl::Status path_bench::putDocument() {
  const sample_documents Documents;
  const auto Envelope = Documents.sign(
      "pedidos", Documents.text("pedidos", {8, 4}, formatEndpoint(upstream())),
      1);
  const auto Address = parseEndpoint(PlatformAddress);
  asio::io_context Context(1);
  const auto Client = makeHttpPlatform(std::make_shared<http_client>(),
                                       *Address, std::chrono::seconds(1));
  table_transaction Transaction;
  Transaction.Writes = {
      {documentRowKey(Envelope.Service), Envelope.serialize()}};
  return runToEnd(Context, Client.Commit(std::move(Transaction))).status();
}

std::string path_bench::settingsText(std::size_t Workers) const {
  return absl::StrCat(
      "vm: { name: vm-a, region: lima, failure_domain: lima-a, workers: ",
      Workers, " }\naddresses: { callers: '", formatEndpoint(Entry),
      "', peers: '", freeAddress(), "', control: '", freeAddress(),
      "' }\nplatform: { address: '", PlatformAddress,
      "' }\npeer_secret_file: ", SecretFile,
      "\ncallers: { lookup_time_to_live: 100ms }\n"
      "logs: { level: error }\n");
}

} // namespace sesamepaddle
