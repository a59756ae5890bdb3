#include "adapter/synchronizer_fixture.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;
using namespace sesamepaddle::adapter;

TEST_CASE("an order for a rollout is ignored where there are no terms for it") {
  synchronizer_fixture Fixture;
  auto Bounds = Fixture.Fleet.options().Bounds;
  Bounds.Rollout = std::nullopt;
  Fixture.Fleet.setBounds(Bounds);
  Fixture.start();
  Fixture.awaitFirstRead();
  Fixture.change("op", "rollout/s1",
                 R"({"service":"s1","to":"v2","durationS":20})");
  // Read after the order.
  Fixture.change("op", "config", configurationText(4));
  Fixture.await([&] { return Fixture.Fleet.configuration()->version() == 4; });
  CHECK(Fixture.onThread([&] { return Fixture.Fleet.rollouts().empty(); }));
  // The VM serves, and writes no state for the order.
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(Fixture.onThread([&] {
    return !Fixture.Store.value("status", "rollout/s1").has_value();
  }));
}
