#include "sesamepaddle/routing/fleet_configuration.h"

#include <doctest/doctest.h>

using namespace sesamepaddle;

namespace {

fleet_route makeRoute(std::string Name, std::string Prefix) {
  fleet_route Route;
  Route.Name = route_name(std::move(Name));
  Route.Prefix = std::move(Prefix);
  Route.Services = {{service_name("orders"), 1}};
  return Route;
}

fleet_configuration makeConfiguration() {
  configuration_content Content;
  Content.Version = 7;
  Content.RoutesByHost["Shop.example"] = {makeRoute("all", "/"),
                                          makeRoute("orders", "/orders/"),
                                          makeRoute("new", "/orders/new/")};
  workspace_terms Bakery;
  Bakery.Name = workspace_name("bakery");
  Bakery.Keys = {"k1", "k2"};
  Content.Workspaces = {Bakery};
  return fleet_configuration(std::move(Content));
}

} // namespace

TEST_CASE("a request belongs to a route and a workspace") {
  const auto Configuration = makeConfiguration();

  SUBCASE("the longest matching prefix selects the route") {
    const auto NameOf = [&](std::string_view Host, std::string_view Path) {
      const auto *Route = Configuration.findRoute(Host, Path);
      return Route == nullptr ? std::string("none") : Route->Name.str();
    };
    CHECK(NameOf("shop.example", "/orders/new/1") == "new");
    CHECK(NameOf("shop.example", "/orders/1") == "orders");
    CHECK(NameOf("shop.example", "/orders") == "all");

    SUBCASE("the case and the port of the host are ignored") {
      CHECK(NameOf("SHOP.EXAMPLE:8080", "/orders/1") == "orders");
    }
    SUBCASE("an unknown host has no route") {
      CHECK(NameOf("shop.example.org", "/orders/1") == "none");
    }
  }

  SUBCASE("only a configured key identifies a workspace") {
    REQUIRE(Configuration.findWorkspace("k2") != nullptr);
    CHECK(Configuration.findWorkspace("k2")->Name.str() == "bakery");
    CHECK(Configuration.findWorkspace("k") == nullptr);
    CHECK(Configuration.findWorkspace("") == nullptr);
  }
}

TEST_CASE("services of a route get requests in proportion to their weights") {
  fleet_route Route;
  Route.Services = {{service_name("a"), 90}, {service_name("b"), 10}};
  int ToB = 0;
  constexpr int Draws = 1'000;
  for (int Draw = 0; Draw < Draws; ++Draw)
    ToB += Route.serviceFor(static_cast<double>(Draw) / Draws).str() == "b";
  CHECK(ToB == Draws / 10);
}

TEST_CASE("a region must be allowed by the route and the workspace") {
  const std::vector<region_name> Lima = {region_name("lima")};
  const std::vector<region_name> Both = {region_name("lima"),
                                         region_name("trujillo")};
  CHECK(isRegionAllowed(region_name("trujillo"), {}, {}));
  CHECK(isRegionAllowed(region_name("trujillo"), Both, {}));
  CHECK_FALSE(isRegionAllowed(region_name("trujillo"), Both, Lima));
  CHECK(isRegionAllowed(region_name("lima"), Both, Lima));
}
