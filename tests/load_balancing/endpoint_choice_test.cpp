#include "sesamepaddle/load_balancing/choice_counts.h"
#include "sesamepaddle/load_balancing/endpoint_choice.h"
#include "sesamepaddle/load_balancing/load_estimate.h"
#include "sesamepaddle/load_balancing/placement.h"
#include "sesamepaddle/steering/rendezvous.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

const time_point Start = time_point(std::chrono::hours(1));
const region_name Lima("lima");
const failure_domain_name LimaA("lima-a");
const std::uint64_t Object = stableHash("orders/7");

endpoint_pointer makeEndpoint(int Number, const std::string &Region = "lima",
                              const std::string &Domain = "lima-a") {
  auto Endpoint = std::make_shared<fleet_endpoint>();
  auto &Record = Endpoint->Record;
  Record.Id = endpoint_id("i-" + std::to_string(Number));
  Record.Service = service_name("orders");
  Record.Region = region_name(Region);
  Record.FailureDomain = failure_domain_name(Domain);
  Record.Slots = 3;
  Endpoint->Hash = stableHash(Record.Id.view());
  return Endpoint;
}

reported_load makeLoad(unsigned Running, unsigned Waiting) {
  reported_load Load;
  Load.Running = Running;
  Load.Waiting = Waiting;
  Load.Slots = 3;
  return Load;
}

/** Some endpoints of one failure domain, in the order in which they rank. */
struct candidates {
  explicit candidates(int Count, int Knowing = 0) {
    for (int Number = 0; Number < Count; ++Number)
      All.push_back({makeEndpoint(Number), endpoint_distance::SameDomain,
                     100.0 - Number, Number < Knowing});
  }

  chosen_endpoint choose(std::uint64_t Vm = 1, double Draw = 0.5) const {
    return chooseEndpoint(All, {Object, stableHash(std::to_string(Vm)), Draw},
                          {}, Start);
  }

  /** @returns how many of 300 VMs choose each endpoint. */
  std::map<endpoint_pointer, int> chooseByVms() const {
    std::map<endpoint_pointer, int> Chosen;
    for (std::uint64_t Vm = 0; Vm < 300; ++Vm)
      ++Chosen[choose(Vm).Endpoint];
    return Chosen;
  }

  fleet_endpoint &at(std::size_t Index) { return *All[Index].Endpoint; }

  std::vector<endpoint_candidate> All;
};

} // namespace

TEST_CASE("an estimate of load trusts old reports less") {
  const auto Endpoint = makeEndpoint(0);
  Endpoint->PeerInFlight = 1;
  Endpoint->noteLoad(makeLoad(3, 6), Start);
  const auto Fresh = estimateLoad(*Endpoint, Start);
  CHECK(Fresh.Requests == doctest::Approx(9));
  CHECK(Fresh.Deviation == doctest::Approx(0));
  CHECK(Fresh.ReportWeight == doctest::Approx(1));

  SUBCASE("each report loses weight with its age") {
    double Before = Fresh.Requests;
    double DeviationBefore = Fresh.Deviation;
    for (const int Age : {100, 200, 400, 2'000}) {
      const auto Later = estimateLoad(*Endpoint, Start + milliseconds(Age));
      CHECK(Later.Requests < Before);
      CHECK(Later.Deviation > DeviationBefore);
      Before = Later.Requests;
      DeviationBefore = Later.Deviation;
    }
    CHECK(Before == doctest::Approx(1).epsilon(0.01));
  }
  SUBCASE("what this VM sent and got back since is counted") {
    Endpoint->InFlight = 2;
    CHECK(estimateLoad(*Endpoint, Start).Requests == doctest::Approx(11));
    Endpoint->noteLoad(makeLoad(3, 8), Start);
    Endpoint->InFlight = 0;
    CHECK(estimateLoad(*Endpoint, Start).Requests == doctest::Approx(9));
  }
  SUBCASE("it is never below what this VM has under way") {
    Endpoint->InFlight = 4;
    Endpoint->noteLoad(makeLoad(0, 0), Start);
    CHECK(estimateLoad(*Endpoint, Start).Requests >= 4);
  }
  SUBCASE("a VM that was paused has forgotten the report") {
    const auto Later =
        estimateLoad(*Endpoint, Start + std::chrono::seconds(30));
    CHECK(Later.ReportWeight < 1e-6);
  }
}

TEST_CASE("VMs with the same old news do not all choose the same endpoint") {
  candidates Candidates(6, 3);

  SUBCASE("those that know the object share it") {
    const auto Chosen = Candidates.chooseByVms();
    CHECK(Chosen.size() == 3);
    for (const auto &[Endpoint, Vms] : Chosen)
      CHECK(Vms > 60);
    CHECK(Candidates.choose().Reason == choice_reason::Shared);
  }
  SUBCASE("each VM keeps its choice") {
    for (std::uint64_t Vm = 0; Vm < 20; ++Vm)
      CHECK(Candidates.choose(Vm).Endpoint == Candidates.choose(Vm).Endpoint);
  }
  SUBCASE("one with more room gets more") {
    Candidates.at(0).PeerInFlight = 3;
    auto Chosen = Candidates.chooseByVms();
    CHECK(Chosen[Candidates.All[0].Endpoint] <
          Chosen[Candidates.All[1].Endpoint]);
  }
  SUBCASE("one whose queue stands out gets nothing") {
    Candidates.at(0).PeerInFlight = 12;
    auto Chosen = Candidates.chooseByVms();
    CHECK_FALSE(Chosen.contains(Candidates.All[0].Endpoint));
  }
  SUBCASE("a fresh report of a queue is certain enough") {
    Candidates.at(0).noteLoad(makeLoad(3, 3), Start);
    Candidates.at(1).noteLoad(makeLoad(1, 0), Start);
    Candidates.at(2).noteLoad(makeLoad(1, 0), Start);
    auto Chosen = Candidates.chooseByVms();
    CHECK_FALSE(Chosen.contains(Candidates.All[0].Endpoint));
  }
}

TEST_CASE("objects that no endpoint knows spread by number, alike on all VMs") {
  candidates Candidates(8);
  Candidates.at(0).addKnownObject(1, Start);
  Candidates.at(0).addKnownObject(2, Start);
  const auto Chosen = Candidates.chooseByVms();
  CHECK(Chosen.size() == 1);
  CHECK(Chosen.begin()->first != Candidates.All[0].Endpoint);
  CHECK(Candidates.choose().Reason == choice_reason::NewHome);

  SUBCASE("only the first few in order are compared") {
    for (std::size_t Index = 0; Index < 3; ++Index)
      for (std::uint64_t Known = 0; Known < 9; ++Known)
        Candidates.at(Index).addKnownObject(Known, Start);
    CHECK_FALSE(Candidates.chooseByVms().contains(Candidates.All[7].Endpoint));
  }
}

TEST_CASE("an object gets a further endpoint when its requests wait") {
  candidates Candidates(6, 1);
  const auto Copies = [&] {
    int Count = 0;
    for (int Draw = 0; Draw < 100; ++Draw)
      Count += Candidates.choose(1, Draw / 100.0).Reason == choice_reason::Copy;
    return Count;
  };
  for (std::size_t Index = 1; Index < 6; ++Index)
    Candidates.at(Index).addKnownObject(1, Start);
  CHECK(Copies() == 0);

  SUBCASE("by a few of the requests") {
    Candidates.at(0).PeerInFlight = 6;
    CHECK(Copies() > 0);
    CHECK(Copies() <= 10);
  }
  SUBCASE("not where the others are as busy") {
    for (std::size_t Index = 0; Index < 6; ++Index)
      Candidates.at(Index).PeerInFlight = 6;
    CHECK(Copies() == 0);
  }
  SUBCASE("all of them go elsewhere when waiting takes longer than that") {
    Candidates.at(0).PeerInFlight = 12;
    CHECK(Candidates.choose().Reason == choice_reason::Overflow);
  }
}

TEST_CASE("an endpoint without objects gets some that others know") {
  candidates Candidates(6, 0);
  Candidates.All[5].KnowsObject = true;
  for (std::size_t Index = 1; Index < 6; ++Index)
    Candidates.at(Index).addKnownObject(1, Start);
  CHECK(Candidates.choose(1, 0.05).Endpoint == Candidates.All[0].Endpoint);
  CHECK(Candidates.choose(1, 0.05).Reason == choice_reason::Filled);
  CHECK(Candidates.choose(1, 0.5).Endpoint == Candidates.All[5].Endpoint);
  Candidates.at(0).addKnownObject(2, Start);
  CHECK(Candidates.choose(1, 0.05).Endpoint == Candidates.All[5].Endpoint);
}

TEST_CASE("a region keeps the objects for which it has room") {
  std::vector<endpoint_pointer> Endpoints;
  Endpoints.reserve(60);
  for (int Number = 0; Number < 10; ++Number)
    Endpoints.push_back(makeEndpoint(Number, "lima", "lima-a"));
  for (int Number = 10; Number < 20; ++Number)
    Endpoints.push_back(makeEndpoint(Number, "lima", "lima-b"));
  for (int Number = 20; Number < 60; ++Number)
    Endpoints.push_back(makeEndpoint(Number, "cusco", "cusco-a"));
  const auto Stay = [&](double CallerShare) {
    const auto Weights =
        weighDistances(Endpoints, Lima, LimaA, CallerShare, {});
    const double Own = 10 + 10 * Weights.SameRegion;
    return Own / (Own + 40 * Weights.OtherRegion);
  };
  // It has a third of the slots.
  CHECK(Stay(2.0 / 3) == doctest::Approx(0.5));
  CHECK(Stay(1.0 / 3) == doctest::Approx(0.95));
  CHECK(Stay(0.1) == doctest::Approx(0.95));

  SUBCASE("most of them in the VM's own failure domain") {
    CHECK(weighDistances(Endpoints, Lima, LimaA, 0.5, {}).SameRegion < 0.2);
  }
  SUBCASE("with no endpoint at home all go out") {
    const auto Weights = weighDistances(Endpoints, region_name("puno"),
                                        failure_domain_name("puno-a"), 0.5, {});
    CHECK(Weights.OtherRegion > 0);
  }
}

// The limit of a cold endpoint, evacuations, homes and quiet times go first.
TEST_CASE("even placing keeps to the endpoints that may be used") {
  endpoint_registry Registry;
  for (int Number = 0; Number < 6; ++Number) {
    auto Record = makeEndpoint(Number, Number < 3 ? "lima" : "cusco",
                               Number < 3 ? "lima-a" : "cusco-a")
                      ->Record;
    Record.StartedAt = 1;
    Registry.apply(Record, Start);
  }
  placement_limits Limits;
  Limits.CallerShare = 0.5;
  placement_options Options;
  Options.IsEven = true;
  std::vector<region_name> Homes;
  const auto Place = [&](int Number, time_point Now = Start) {
    placement_request Request;
    Request.ObjectHash = stableHash(std::to_string(Number));
    Request.CallerRegion = Lima;
    Request.CallerDomain = LimaA;
    Request.RouteHomes = Homes;
    Request.Draw = (Number % 10) / 10.0;
    return placeRequest(Registry.of(service_name("orders")), Request, Limits,
                        Options, Now);
  };
  const auto UsedRegions = [&] {
    std::map<std::string, int> Used;
    for (int Number = 0; Number < 200; ++Number)
      if (const auto Placed = Place(Number); Placed.Endpoint)
        ++Used[Placed.Endpoint->Record.Region.str()];
    return Used;
  };

  SUBCASE("an evacuated failure domain") {
    Limits.EvacuatedDomains = {LimaA};
    CHECK_FALSE(UsedRegions().contains("lima"));
  }
  SUBCASE("homes") {
    Homes = {region_name("cusco")};
    CHECK_FALSE(UsedRegions().contains("lima"));
  }
  SUBCASE("a leaving endpoint, and one that asked for quiet") {
    const auto Leaving = Registry.find(endpoint_id("i-0"));
    const auto Quiet = Registry.find(endpoint_id("i-1"));
    Leaving->IsLeavingReported = true;
    Quiet->QuietUntil = Start + milliseconds(500);
    for (int Number = 0; Number < 200; ++Number) {
      CHECK(Place(Number).Endpoint != Leaving);
      CHECK(Place(Number).Endpoint != Quiet);
    }
  }
  SUBCASE("all quiet") {
    for (const auto &Endpoint : Registry.of(service_name("orders")))
      Endpoint->QuietUntil = Start + milliseconds(500);
    CHECK(Place(1).Result == placement_result::AllQuiet);
  }
  SUBCASE("cold endpoints within their limit") {
    Limits.ColdRequestsPerSecond = 4;
    for (const auto &Endpoint : Registry.of(service_name("orders")))
      Endpoint->ColdUntil = Start + std::chrono::seconds(3);
    int Placed = 0;
    for (int Number = 0; Number < 200; ++Number)
      Placed += Place(Number).Endpoint != nullptr;
    CHECK(Placed == 6);
    CHECK(Place(1).Result == placement_result::AllFull);
  }
  SUBCASE("a failing endpoint only if all fail") {
    const auto Home = Place(7).Endpoint;
    Home->addKnownObject(stableHash("7"), Start);
    Home->addFailure(Start);
    CHECK(Place(7).Endpoint != Home);
    for (const auto &Endpoint : Registry.of(service_name("orders")))
      Endpoint->addFailure(Start);
    CHECK(Place(7).Endpoint == Home);
  }
  SUBCASE("an object stays where this VM has just sent it") {
    const auto Home = Place(7).Endpoint;
    for (std::uint64_t Known = 0; Known < 9; ++Known)
      Home->addKnownObject(Known, Start);
    CHECK(Place(7).Endpoint == Home);
    // Its answer never came.
    const auto Later = Start + std::chrono::seconds(4);
    CHECK(Place(7, Later).Endpoint != Home);
  }
}

TEST_CASE("choices are counted by reason and by distance") {
  choice_counts Counts;
  Counts.add(choice_reason::Copy, endpoint_distance::OtherRegion);
  Counts.add(choice_reason::Overflow, endpoint_distance::OtherRegion);
  CHECK(Counts.of(choice_reason::Copy) == 1);
  CHECK(Counts.of(endpoint_distance::OtherRegion) == 2);
  const auto Text = Counts.prometheusText();
  CHECK(Text.find("endpoint_choices{reason=\"overflow\"} 1\n") !=
        std::string::npos);
  CHECK(Text.find("endpoint_distances{distance=\"other-region\"} 2\n") !=
        std::string::npos);
}
