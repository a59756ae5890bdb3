#include "sesamepaddle/load_balancing/placement.h"
#include "sesamepaddle/steering/rendezvous.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

using namespace sesamepaddle;
using std::chrono::milliseconds;

namespace {

const service_name Orders("orders");
const time_point Start = time_point(std::chrono::hours(1));

endpoint_record makeRecord(int Number, std::string Region) {
  endpoint_record Record;
  Record.Id = endpoint_id("i-" + std::to_string(Number));
  Record.Address = "10.0.0." + std::to_string(Number) + ":80";
  Record.Service = Orders;
  Record.Version = version_name("v1");
  Record.Region = region_name(Region);
  Record.FailureDomain = failure_domain_name(Region + "-a");
  Record.Slots = 3;
  Record.StartedAt = 1;
  return Record;
}

/** Three endpoints in each of two regions, as seen by one VM. */
struct fleet {
  fleet() {
    for (int Number = 0; Number < 6; ++Number)
      Registry.apply(makeRecord(Number, Number < 3 ? "lima" : "trujillo"),
                     Start);
  }

  endpoint_pointer place(std::string_view Object, time_point Now = Start) {
    placement_request Request;
    Request.ObjectHash = stableHash(Object);
    Request.CallerRegion = region_name(CallerRegion);
    Request.RouteHomes = Homes;
    return placeRequest(Registry.of(Orders), Request, Limits, {}, Now).Endpoint;
  }

  std::map<std::string, std::string> placeAll() {
    std::map<std::string, std::string> Placed;
    for (int Object = 0; Object < 100; ++Object) {
      const auto Name = std::to_string(Object);
      if (const auto Endpoint = place(Name))
        Placed[Name] = Endpoint->Record.Id.str();
    }
    return Placed;
  }

  endpoint_registry Registry;
  placement_limits Limits;
  std::vector<region_name> Homes;
  std::string CallerRegion = "lima";
};

} // namespace

TEST_CASE("requests for an object go to the same endpoint") {
  fleet Fleet;
  const auto Before = Fleet.placeAll();
  REQUIRE(Before.size() == 100);
  CHECK(Fleet.placeAll() == Before);

  SUBCASE("most objects stay in their caller's region") {
    int Near = 0;
    for (const auto &[Object, Id] : Before)
      Near +=
          Fleet.Registry.find(endpoint_id(Id))->Record.Region.str() == "lima";
    CHECK(Near > 70);
    CHECK(Near < 100);
  }

  SUBCASE("when an endpoint leaves, only its objects move") {
    auto Leaving = makeRecord(1, "lima");
    Leaving.IsLeaving = true;
    Fleet.Registry.apply(Leaving, Start);
    for (const auto &[Object, Id] : Fleet.placeAll()) {
      CHECK(Id != "i-1");
      if (Before.at(Object) != "i-1")
        CHECK(Id == Before.at(Object));
    }
  }

  SUBCASE("objects of a full endpoint go to the next in rendezvous order") {
    const auto First = Fleet.place("7");
    First->InFlight = 5;
    const auto Second = Fleet.place("7");
    CHECK(Second != First);
    CHECK(Fleet.place("7") == Second);
    First->InFlight = 0;
    CHECK(Fleet.place("7") == First);
  }

  SUBCASE("an object keeps its endpoint when callers move to another region") {
    const auto First = Fleet.place("7");
    for (const auto &Endpoint : Fleet.Registry.of(Orders))
      for (std::uint64_t Object = 0; Object < 3; ++Object)
        Endpoint->addKnownObject(Object, Start);
    First->addKnownObject(stableHash("7"), Start);
    Fleet.CallerRegion = "trujillo";
    CHECK(Fleet.place("7") == First);

    SUBCASE(
        "requests wait there longer than at an endpoint without the object") {
      First->InFlight = 8;
      CHECK(Fleet.place("7") == First);
      First->InFlight = 12;
      CHECK(Fleet.place("7") != First);

      SUBCASE("they stay there if the other endpoints are busy as well") {
        for (const auto &Endpoint : Fleet.Registry.of(Orders))
          Endpoint->InFlight = std::max(Endpoint->InFlight, 6U);
        CHECK(Fleet.place("7") == First);
      }
    }

    SUBCASE("a nearer endpoint that knows the object as well is preferred") {
      endpoint_pointer Near;
      for (const auto &Endpoint : Fleet.Registry.of(Orders))
        if (Endpoint->Record.Region.str() == "trujillo")
          Near = Endpoint;
      Near->addKnownObject(stableHash("7"), Start);
      CHECK(Fleet.place("7") == Near);
    }
  }

  SUBCASE("endpoints that know an object are chosen by their queues") {
    const auto First = Fleet.place("7");
    First->InFlight = 5;
    const auto Second = Fleet.place("7");
    REQUIRE(Second != First);
    for (const auto &Endpoint : Fleet.Registry.of(Orders))
      for (std::uint64_t Object = 0; Object < 3; ++Object)
        Endpoint->addKnownObject(Object, Start);
    for (const auto &Knowing : {First, Second}) {
      Knowing->addKnownObject(stableHash("7"), Start);
      Knowing->Record.Region = region_name("lima");
    }
    SUBCASE("the first in rendezvous order while it has a free slot") {
      First->InFlight = 2;
      Second->InFlight = 0;
      CHECK(Fleet.place("7") == First);
    }
    SUBCASE("the one with the shorter queue if both are busy") {
      First->InFlight = 5;
      Second->InFlight = 4;
      CHECK(Fleet.place("7") == Second);
      Second->InFlight = 6;
      CHECK(Fleet.place("7") == First);
    }
  }

  SUBCASE("a new endpoint takes over its first objects from the others") {
    for (const auto &Endpoint : Fleet.Registry.of(Orders))
      for (int Object = 0; Object < 50; ++Object)
        Endpoint->addKnownObject(stableHash(std::to_string(Object)), Start);
    Fleet.Registry.apply(makeRecord(9, "lima"), Start);
    const auto New = Fleet.Registry.find(endpoint_id("i-9"));
    int Given = 0;
    for (const auto &[Object, Id] : Fleet.placeAll())
      Given += Id == "i-9" && std::stoi(Object) < 50;
    CHECK(Given > 0);
    New->addKnownObject(1, Start);
    New->addKnownObject(2, Start);
    for (const auto &[Object, Id] : Fleet.placeAll())
      CHECK((Id != "i-9" || std::stoi(Object) >= 50));
  }

  SUBCASE("requests in flight from other VMs count as load") {
    const auto First = Fleet.place("7");
    First->PeerInFlight = 5;
    CHECK(Fleet.place("7") != First);
  }

  SUBCASE("an endpoint that cannot be reached is avoided for a time") {
    const auto First = Fleet.place("7");
    First->addFailure(Start);
    CHECK(Fleet.place("7") != First);
    CHECK(Fleet.place("7", Start + milliseconds(300)) == First);
  }
}

TEST_CASE("endpoints that may not be used get no requests") {
  fleet Fleet;

  SUBCASE("endpoints of an evacuated failure domain") {
    Fleet.Limits.EvacuatedDomains = {failure_domain_name("lima-a")};
    for (const auto &[Object, Id] : Fleet.placeAll())
      CHECK(Fleet.Registry.find(endpoint_id(Id))->Record.Region.str() ==
            "trujillo");
  }

  SUBCASE("endpoints outside the home regions") {
    Fleet.Homes = {region_name("trujillo")};
    for (const auto &[Object, Id] : Fleet.placeAll())
      CHECK(Fleet.Registry.find(endpoint_id(Id))->Record.Region.str() ==
            "trujillo");
    Fleet.Homes = {region_name("arequipa")};
    CHECK(Fleet.place("7") == nullptr);
  }

  SUBCASE("an endpoint whose address another instance has taken over") {
    const auto First = Fleet.place("7");
    First->IsReplaced = true;
    CHECK(Fleet.place("7") != First);
  }

  SUBCASE("a restarted endpoint with the same id counts as a new one") {
    const auto First = Fleet.place("7");
    First->IsReplaced = true;
    auto Record = First->Record;
    Record.StartedAt = 2;
    Fleet.Registry.apply(Record, Start);
    REQUIRE(Fleet.place("7") != nullptr);
    CHECK(Fleet.place("7")->Record.Id == Record.Id);

    SUBCASE("a late record of its earlier incarnation is ignored") {
      Record.StartedAt = 1;
      Record.IsLeaving = true;
      CHECK(Fleet.Registry.apply(Record, Start) == "stale");
      CHECK(Fleet.place("7")->Record.Id == Record.Id);
    }
  }

  // The store may write a heartbeat after those that followed it.
  SUBCASE("a late heartbeat does not put an endpoint back into use") {
    auto Record = Fleet.place("7")->Record;
    Record.Sequence = 5;
    Record.IsLeaving = true;
    CHECK(Fleet.Registry.apply(Record, Start) == "leaving");
    Record.Sequence = 4;
    Record.IsLeaving = false;
    CHECK(Fleet.Registry.apply(Record, Start) == "stale");
    CHECK(Fleet.place("7")->Record.Id != Record.Id);

    SUBCASE("but a later one does") {
      Record.Sequence = 6;
      CHECK(Fleet.Registry.apply(Record, Start) == "staying");
      CHECK(Fleet.place("7")->Record.Id == Record.Id);
    }

    SUBCASE("and a restarted endpoint counts anew") {
      Record.Sequence = 1;
      Record.StartedAt = 2;
      CHECK(Fleet.Registry.apply(Record, Start) == "joined");
      CHECK(Fleet.place("7")->Record.Id == Record.Id);
    }
  }
}

TEST_CASE("endpoints whose records expired while the store was unavailable") {
  fleet Fleet;
  const endpoint_id Id("i-1");
  const auto Until = Start + milliseconds(2'000);
  Fleet.Registry.remove(Id, Until);

  SUBCASE("stay in use until the given time") {
    Fleet.Registry.expire(Start + milliseconds(1'900));
    CHECK(Fleet.Registry.find(Id) != nullptr);
  }
  SUBCASE("are removed at that time if no record has come") {
    Fleet.Registry.expire(Until);
    CHECK(Fleet.Registry.find(Id) == nullptr);
  }
  SUBCASE("stay longer when the store is lost again before") {
    Fleet.Registry.prolongRemovals(Start + milliseconds(3'000));
    Fleet.Registry.prolongRemovals(Start + milliseconds(2'500));
    Fleet.Registry.expire(Start + milliseconds(2'900));
    CHECK(Fleet.Registry.find(Id) != nullptr);
    Fleet.Registry.expire(Start + milliseconds(3'000));
    CHECK(Fleet.Registry.find(Id) == nullptr);
  }
  SUBCASE("stay when their record has come back") {
    Fleet.Registry.apply(makeRecord(1, "lima"), Start);
    Fleet.Registry.expire(Until);
    CHECK(Fleet.Registry.find(Id) != nullptr);
  }
  SUBCASE("are removed at once if they were leaving") {
    auto Leaving = makeRecord(2, "lima");
    Leaving.IsLeaving = true;
    Fleet.Registry.apply(Leaving, Start);
    Fleet.Registry.remove(Leaving.Id, Until);
    CHECK(Fleet.Registry.find(Leaving.Id) == nullptr);
  }
}

TEST_CASE("an endpoint that said that it leaves is not used") {
  fleet Fleet;
  const auto Before = Fleet.placeAll();
  const auto Record = makeRecord(1, "lima");
  Fleet.Registry.noteLeaving(Record);
  const auto IsUsed = [&] {
    bool IsFound = false;
    for (const auto &[Object, Id] : Fleet.placeAll()) {
      IsFound = IsFound || Id == "i-1";
      if (Before.at(Object) != "i-1")
        CHECK(Id == Before.at(Object));
    }
    return IsFound;
  };
  CHECK_FALSE(IsUsed());

  SUBCASE("whatever later rows of the same incarnation say") {
    Fleet.Registry.apply(Record, Start);
    CHECK_FALSE(IsUsed());
    Fleet.Registry.remove(Record.Id, std::nullopt);
    Fleet.Registry.apply(Record, Start);
    CHECK_FALSE(IsUsed());
  }
  SUBCASE("until a new incarnation registers") {
    auto Next = Record;
    Next.StartedAt = 2;
    Fleet.Registry.apply(Next, Start);
    CHECK(IsUsed());
    // A late word of the earlier one.
    Fleet.Registry.noteLeaving(Record);
    CHECK(IsUsed());
  }
  SUBCASE(
      "until another endpoint registers under its id after its row lapsed") {
    Fleet.Registry.remove(Record.Id, std::nullopt);
    auto Other = Record;
    Other.Address = "10.0.9.9:80";
    Fleet.Registry.apply(Other, Start);
    CHECK(IsUsed());
  }
  SUBCASE("and memory of lapsed rows is bounded") {
    for (int Number = 10; Number < 3'000; ++Number)
      Fleet.Registry.noteLeaving(makeRecord(Number, "lima"));
    CHECK(Fleet.Registry.announcements() <= 1'024);
    CHECK_FALSE(IsUsed());
  }
}

TEST_CASE("an endpoint that asked for quiet is not used for that time") {
  fleet Fleet;
  const auto Before = Fleet.placeAll();
  const auto Until = Start + milliseconds(4'000);
  Fleet.Registry.find(endpoint_id("i-1"))->QuietUntil = Until;

  SUBCASE("only its objects move, and they come back after it") {
    for (const auto &[Object, Id] : Fleet.placeAll()) {
      CHECK(Id != "i-1");
      if (Before.at(Object) != "i-1")
        CHECK(Id == Before.at(Object));
    }
    for (const auto &[Object, Id] : Before) {
      CHECK(Fleet.place(Object, Until - milliseconds(1))->Record.Id.str() !=
            "i-1");
      CHECK(Fleet.place(Object, Until)->Record.Id.str() == Id);
    }
  }

  placement_request Request;
  Request.CallerRegion = region_name("lima");
  const auto Place = [&] {
    return placeRequest(Fleet.Registry.of(Orders), Request, Fleet.Limits, {},
                        Start);
  };
  SUBCASE("while others may not be used, the first end of a time is told") {
    const std::vector<region_name> Homes = {region_name("lima")};
    Request.RouteHomes = Homes;
    Fleet.Registry.find(endpoint_id("i-0"))->QuietUntil =
        Until + milliseconds(500);
    CHECK(Place().Result == placement_result::Placed);
    Fleet.Limits.EvacuatedDomains = {failure_domain_name("lima-a")};
    CHECK(Place().Result == placement_result::NoEndpoint);
    Fleet.Limits.EvacuatedDomains = {};
    Fleet.Registry.find(endpoint_id("i-2"))->QuietUntil =
        Until + milliseconds(900);
    const auto Placed = Place();
    CHECK(Placed.Result == placement_result::AllQuiet);
    CHECK(Placed.Endpoint == nullptr);
    CHECK(Placed.QuietUntil == Until);

    SUBCASE("also when one of them has been tried") {
      const std::vector<endpoint_pointer> Tried = {
          Fleet.Registry.find(endpoint_id("i-1"))};
      Request.Excluded = Tried;
      CHECK(Place().Result == placement_result::AllQuiet);
      CHECK(Place().QuietUntil == Until);
    }
    SUBCASE("not when one that wants requests has been tried") {
      const std::vector<endpoint_pointer> Tried = {
          Fleet.Registry.find(endpoint_id("i-1"))};
      Request.Excluded = Tried;
      Tried[0]->QuietUntil = {};
      CHECK(Place().Result == placement_result::NoEndpoint);
    }
  }
  SUBCASE("the limit of a cold endpoint holds beside quiet ones") {
    Fleet.Limits.ColdRequestsPerSecond = 4;
    for (const auto &Endpoint : Fleet.Registry.of(Orders))
      if (Endpoint->Record.Id.str() == "i-2")
        Endpoint->ColdUntil = Until;
      else
        Endpoint->QuietUntil = Until;
    CHECK(Place().Result == placement_result::Placed);
    CHECK(Place().Result == placement_result::AllFull);
  }
}

TEST_CASE("all VMs together stay within the limit of a cold endpoint") {
  // Required limit for any second: 1.5 times the tolerated rate plus 5.
  constexpr double Tolerated = 4.4;
  constexpr double MostInSecond = Tolerated * 1.5 + 5;
  const bool Holds = rc::check("cold sends in any second", [&] {
    const auto Vms = *rc::gen::inRange<std::size_t>(1, 40);
    std::vector<fleet> Fleets(Vms);
    for (std::size_t Rank = 0; Rank < Vms; ++Rank) {
      Fleets[Rank].Limits.ColdRequestsPerSecond = Tolerated;
      Fleets[Rank].Limits.Vms = Vms;
      Fleets[Rank].Limits.VmRank = Rank;
      for (const auto &Endpoint : Fleets[Rank].Registry.of(Orders))
        Endpoint->ColdUntil = Start + std::chrono::seconds(3);
    }
    std::map<std::string, std::vector<time_point>> Sends;
    const auto Steps =
        *rc::gen::container<std::vector<std::pair<std::size_t, int>>>(
            300, rc::gen::pair(rc::gen::inRange<std::size_t>(0, Vms),
                               rc::gen::inRange(0, 20)));
    auto Now = Start;
    for (const auto &[Vm, Pause] : Steps) {
      Now += milliseconds(Pause);
      if (const auto Endpoint = Fleets[Vm].place(std::to_string(Pause), Now))
        Sends[Endpoint->Record.Id.str()].push_back(Now);
    }
    for (const auto &[Id, Times] : Sends)
      for (std::size_t First = 0; First < Times.size(); ++First) {
        std::size_t Count = 0;
        while (First + Count < Times.size() &&
               Times[First + Count] - Times[First] < std::chrono::seconds(1))
          ++Count;
        RC_ASSERT(static_cast<double>(Count) <= MostInSecond);
      }
  });
  CHECK(Holds);
}
