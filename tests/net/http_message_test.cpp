#include "sesamepaddle/net/http_message.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;

TEST_CASE("a status line is found in a field value, and nothing that only "
          "resembles one") {
  for (const auto *Value :
       {"HTTP/1.1 200 OK", "HTTP/1.0 503 Service Unavailable", "HTTP/1.1 200 ",
        "HTTP/1.1 200", "Sat, 05HTTP/1.1 200 OK",
        "HTTP/1.HTTP/1.1 404 Not Found", "HTTP/1.1 20HTTP/1.1 200 OK"}) {
    CAPTURE(Value);
    CHECK(containsStatusLine(std::string_view(Value)));
  }
  for (const auto *Value :
       {"", "1.1 proxy", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20",
        "HTTP/1.1 2000", "HTTP/1.1  200 OK", "HTTP/1.1 proxy", "HTTP/2 200 OK",
        "http/1.1 200 OK", "GET / HTTP/1.1", "HTTP/1. 200 OK", "200 OK"}) {
    CAPTURE(Value);
    CHECK_FALSE(containsStatusLine(std::string_view(Value)));
  }
  CHECK(containsStatusLine(
      http_headers{{"Via", "1.1 a"}, {"Date", "SatHTTP/1.1 200 OK"}}));
  CHECK_FALSE(containsStatusLine(http_headers{{"Via", "1.1 a"}}));
}
