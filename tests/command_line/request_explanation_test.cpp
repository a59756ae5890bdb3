#include "command_line/request_explanation.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <vector>

using namespace sesamepaddle;

namespace {

/** Mixed logs of two VMs. */
constexpr const char *Text =
    R"(vm-1 2026-02-13 16:54:04.639 INFO  store: configuration version=4 revision=31 in_force=1
vm-1 2026-02-13 16:54:04.639 INFO  store: limit workspace=bakery rate=57 burst=57 version=4
vm-2 2026-02-13 16:54:13.100 INFO  store: limit workspace=bakery rate=9 burst=9 version=8
vm-1 2026-02-13 16:54:13.566 INFO  store: limit workspace=bakery rate=18 burst=18 version=9
vm-1 2026-02-13 16:54:14.000 INFO  node: endpoint id=i-7f suspect=1 good=1.2 bad=3.1 service=orders
vm-1 2026-02-13 16:54:15.000 INFO  ingress: request id=quota status=429 reason=refused route=r-1 version=9 service=orders workspace=bakery endpoint= known=0 load=0 attempts=0 unreached=0 ms=0.1 object=25
vm-1 2026-02-13 16:54:15.100 INFO  ingress: request id=key status=401 reason=refused route=r-1 version=9 service= workspace= endpoint= known=0 load=0 attempts=0 unreached=0 ms=0.1 object=25
vm-1 2026-02-13 16:54:15.110 INFO  ingress: request id=route status=404 reason=refused route= version=9 service= workspace= endpoint= known=0 load=0 attempts=0 unreached=0 ms=0.1 object=
vm-2 2026-02-13 16:54:15.120 INFO  ingress: request id=start status=503 reason=refused route= version=0 service= workspace= endpoint= known=0 load=0 attempts=0 unreached=0 ms=0.1 object=
vm-1 2026-02-13 16:54:15.130 INFO  ingress: request id=crash status=503 reason=refused route=r-1 version=9 service=orders workspace=bakery endpoint= known=0 load=0 attempts=0 unreached=0 ms=0.1 object=4
vm-1 2026-02-13 16:54:15.200 INFO  ingress: request id=late status=504 reason=timed-out+no-time route=r-1 version=9 service=orders workspace=bakery endpoint=i-7f known=0 load=6 attempts=1 unreached=0 ms=1200.2 object=17
vm-1 2026-02-13 16:54:15.300 INFO  ingress: request id=full status=503 reason=not-run+no-budget route=r-1 version=9 service=orders workspace=bakery endpoint=i-7f known=1 load=9 attempts=2 unreached=0 ms=30.4 object=17
vm-1 2026-02-13 16:54:15.310 INFO  ingress: request id=none status=503 reason=+no-endpoint route=r-1 version=9 service=orders workspace=bakery endpoint= known=0 load=0 attempts=0 unreached=0 ms=0.4 object=17
vm-1 2026-02-13 16:54:15.312 INFO  ingress: endpoint id=i-7f in_use=0 cause=quiet seconds=5 request=full service=orders
vm-1 2026-02-13 16:54:15.315 INFO  ingress: request id=quiet status=503 reason=+endpoints-quiet route=r-1 version=9 service=orders workspace=bakery endpoint= known=0 load=0 attempts=0 unreached=0 ms=0.4 object=17
vm-1 2026-02-13 16:54:15.317 INFO  ingress: request id=outdated status=503 reason=+rows-outdated route= version=9 service= workspace= endpoint= known=0 load=0 attempts=0 unreached=0 ms=0.1 object=17
vm-1 2026-02-13 16:54:15.320 INFO  ingress: request id=lost status=502 reason=lost route=r-1 version=9 service=orders workspace=bakery endpoint=i-7f known=1 load=1 attempts=1 unreached=0 ms=300 object=17
vm-1 2026-02-13 16:54:15.330 INFO  ingress: request id=twice status=502 reason=not-run+no-attempts route=r-1 version=9 service=orders workspace=bakery endpoint=i-7f known=0 load=3 attempts=2 unreached=0 tried=i-6a:lost,i-7f:503 ms=120.7 object=27
vm-1 2026-02-13 16:54:15.335 INFO  ingress: request id=changed status=502 reason=lost+not-repeatable route=r-2 version=9 service=orders workspace=bakery endpoint=i-7f known=0 load=3 attempts=1 unreached=0 tried=i-6a:lost rules=r-1/8 ms=120.7 object=27
vm-1 2026-02-13 16:54:15.340 INFO  ingress: request id=left status=502 reason=caller-left route=r-1 version=9 service=orders workspace=bakery endpoint=i-7f known=1 load=1 attempts=0 unreached=0 tried=i-7f:caller-left ms=300 object=17
vm-1 2026-02-13 16:54:15.400 INFO  node: endpoint id=i-7f suspect=0 good=5 bad=1 service=orders
vm-2 2026-02-13 16:54:16.000 WARN  ingress: lines dropped=12
not a line of a VM)";

std::vector<std::string> splitLines(const std::string &Lines) {
  std::istringstream Input(Lines);
  std::vector<std::string> Split;
  for (std::string Line; std::getline(Input, Line);)
    Split.push_back(std::move(Line));
  return Split;
}

const std::vector<std::string> Logs = splitLines(Text);

std::string causeOf(std::string_view Id) {
  const auto Explanation = explainRequest(Id, Logs);
  return Explanation ? Explanation->Cause : "";
}

bool mentions(const std::string &Text, std::string_view Words) {
  return Text.find(Words) != std::string::npos;
}

} // namespace

TEST_CASE("the cause of a failed request is derived from logs alone") {
  SUBCASE("each kind of rejection has its own sentence") {
    CHECK(mentions(causeOf("outdated"), "rows of the store were too old"));
    CHECK(mentions(causeOf("quota"), "workspace bakery"));
    CHECK(mentions(causeOf("key"), "its key is in no workspace"));
    CHECK(mentions(causeOf("route"), "has no route"));
    CHECK(causeOf("start") == "the VM had no configuration yet");
    CHECK(mentions(causeOf("crash"), "crashed endpoints"));
    CHECK(mentions(causeOf("full"), "did not run it, and this VM's part of "
                                    "the budget of retries was spent"));
    CHECK(mentions(causeOf("none"), "no endpoint of orders"));
    CHECK(mentions(causeOf("quiet"), "all endpoints of orders that it could "
                                     "use had asked for no requests"));
  }

  SUBCASE("the cause says when the request may have run") {
    CHECK(mentions(causeOf("late"), "may have run it"));
    CHECK(mentions(causeOf("late"), "6 requests there, the object new to it"));
    CHECK(mentions(causeOf("lost"), "may have run it"));
    CHECK(mentions(causeOf("changed"), "may have run it"));
    CHECK(mentions(causeOf("changed"), "does not allow to repeat it"));
  }

  SUBCASE("earlier attempts and a caller's disconnect are reported") {
    CHECK(mentions(causeOf("twice"), "; before that: i-6a:lost"));
    CHECK(causeOf("left") == "its caller left before it was answered");
  }

  SUBCASE("a rejection names the limit in force on its own VM") {
    CHECK(mentions(causeOf("quota"), "rate 18, burst 18"));
  }

  SUBCASE("related lines are in order, none later or of other VMs") {
    const auto Explanation = explainRequest("late", Logs);
    REQUIRE(Explanation.has_value());
    REQUIRE(Explanation->Lines.size() == 3);
    CHECK(mentions(Explanation->Lines[0], "configuration version=4"));
    CHECK(mentions(Explanation->Lines[1], "endpoint id=i-7f suspect=1"));
    CHECK(mentions(Explanation->Lines[2], "request id=late"));
  }

  SUBCASE("an unknown id is not found; dropped lines are counted") {
    CHECK_FALSE(explainRequest("other", Logs).has_value());
    CHECK(countDropped(Logs) == 12);
  }
}
