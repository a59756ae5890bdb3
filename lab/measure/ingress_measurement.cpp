#include "lab_command.h"
#include "measure/ingress_bench.h"
#include "measure/product_measurements.h"

#include "absl/strings/str_cat.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cstdio>
#include <iostream>
#include <optional>

namespace sesamepaddle {

namespace {

namespace http = boost::beast::http;

constexpr std::array<lab_option, 3> Options = {
    {{"quick", "false", "true: a twentieth of the requests"},
     {"seed", "1", "ignored: nothing is random"},
     {"endpoints", "18", "endpoints of the service"}}};

constexpr std::size_t Requests = 10'000;
constexpr std::size_t QuickRequests = 500;
constexpr std::size_t UploadBytes = 60'000;

/** One kind of request, and the status that answers it. */
struct request_kind_case {
  std::string Name;
  tcp::endpoint Server;
  std::string Head; ///< request line and the fields of this kind
  std::string Body;
  bool IsKept = false; ///< all requests use one connection
  unsigned Status = 200;
};

std::vector<request_kind_case> makeCases(const ingress_bench &Bench) {
  const auto Key = [](std::string_view Name) {
    return absl::StrCat("Key: ", absl::string_view(Name.data(), Name.size()),
                        "\r\n");
  };
  const auto Get = [](std::string Path, std::string Fields) {
    return absl::StrCat("GET ", Path, " HTTP/1.1\r\nHost: shop.example\r\n",
                        Fields);
  };
  const auto Callers = Bench.callers();
  return {
      {"answered, kept connection", Callers, Get("/served/1", Key(OpenKey)), "",
       true, 200},
      {"answered, new connection", Callers, Get("/served/1", Key(OpenKey)), "",
       false, 200},
      {"upload of 60 kB, kept connection", Callers,
       absl::StrCat("POST /served/1 HTTP/1.1\r\nHost: shop.example\r\n",
                    Key(OpenKey), "Content-Length: ", UploadBytes, "\r\n"),
       std::string(UploadBytes, 'u'), true, 200},
      {"429, kept connection", Callers, Get("/served/1", Key(SpentKey)), "",
       true, 429},
      {"429, new connection", Callers, Get("/served/1", Key(SpentKey)), "",
       false, 429},
      {"503, new connection", Callers, Get("/empty/1", Key(OpenKey)), "", false,
       503},
      {"401, new connection", Callers, Get("/served/1", Key("other")), "",
       false, 401},
      {"directory lookup, new connection", Bench.directory(),
       Get("/directory?zone=a", ""), "", false, 200},
  };
}

/** Sends @p Count requests one after another.
    @returns how many got the expected status */
std::size_t sendAll(const request_kind_case &Case, std::size_t Count) {
  asio::io_context Context;
  std::optional<tcp::socket> Socket;
  boost::beast::flat_buffer Buffer;
  std::size_t Expected = 0;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    if (!Socket) {
      Socket.emplace(Context);
      Socket->connect(Case.Server);
      Socket->set_option(tcp::no_delay(true));
      Buffer.clear();
    }
    // A few objects, as callers have.
    const auto Request =
        absl::StrCat(Case.Head, "Id: r", Index, "\r\nObject: ", Index % 40,
                     "\r\nDeadline: 1000\r\n\r\n", Case.Body);
    asio::write(*Socket, asio::buffer(Request));
    http::response<http::string_body> Reply;
    boost::system::error_code Error;
    http::read(*Socket, Buffer, Reply, Error);
    Expected += !Error && Reply.result_int() == Case.Status ? 1 : 0;
    if (Error || !Case.IsKept || !Reply.keep_alive())
      Socket.reset();
  }
  return Expected;
}

int measureIngress(std::span<char *const> Arguments) {
  int ExitCode = 0;
  const auto Parsed = lab_options::parse(Arguments, Options, ExitCode);
  if (!Parsed)
    return ExitCode;
  const std::size_t Count = Parsed->flag("quick") ? QuickRequests : Requests;
  ingress_bench Bench(static_cast<std::size_t>(Parsed->number("endpoints")));
  if (!Bench.status().ok()) {
    std::cerr << Bench.status().message() << "\n";
    return 1;
  }
  bool AllExpected = true;
  for (const auto &Case : makeCases(Bench)) {
    sendAll(Case, Count / 10);
    const double Before = Bench.vmNanoseconds();
    const std::size_t Expected = sendAll(Case, Count);
    const double Used = Bench.vmNanoseconds() - Before;
    std::printf("%-34s %8.1f us  %zu of %zu as expected\n", Case.Name.c_str(),
                Used / static_cast<double>(Count) / 1e3, Expected, Count);
    AllExpected = AllExpected && Expected == Count;
  }
  return AllExpected ? 0 : 1;
}

} // namespace

measurement makeIngressMeasurement() {
  return {"ingress", "processor time of an ingress VM for each kind of answer",
          measureIngress};
}

} // namespace sesamepaddle
