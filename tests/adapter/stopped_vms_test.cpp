#include "adapter/synchronizer_fixture.h"
#include "platform/row_codec.h"

#include <doctest/doctest.h>

#include <string>

using namespace sesamepaddle;
using namespace sesamepaddle::adapter;

namespace {

std::string vmText(const std::string &Address, bool HasStopped,
                   std::uint64_t Run = 99) {
  vm_row Row;
  Row.GossipAddress = Address;
  Row.Region = region_name("lima");
  Row.FailureDomain = failure_domain_name("lima-a");
  Row.Run = incarnation{Run};
  Row.HasStopped = HasStopped;
  return encodeVm(Row);
}

std::string ownText(bool HasStopped) {
  return vmText("127.0.0.1:7740", HasStopped);
}

/** @returns the VM's own row in the store, if it can be read. */
std::optional<vm_row> ownRow(synchronizer_fixture &Fixture) {
  const auto Text = Fixture.Store.value("vm", "vm-1");
  const auto Row = decodeVm(Text.value_or(""));
  return Row.ok() ? std::optional(*Row) : std::nullopt;
}

bool hasEntered(synchronizer_fixture &Fixture) {
  const auto Row = ownRow(Fixture);
  return Row && Row->Run == FixtureIncarnation && !Row->HasStopped;
}

/** @returns the part of its region's tokens that the VM makes. */
double fractionMade(synchronizer_fixture &Fixture) {
  return Fixture.onThread([&] {
    Fixture.Fleet.updateQuota(boot_clock::now());
    return Fixture.Fleet.quota().fraction();
  });
}

void startAndEnter(synchronizer_fixture &Fixture) {
  Fixture.start();
  Fixture.awaitFirstRead();
  Fixture.await([&] { return hasEntered(Fixture); });
  Fixture.await([&] { return Fixture.Synchronizer->hasEntered(); });
}

} // namespace

// Guards against a last VM that refuses all limited requests for a minute after
// its start, as it waits to hear from VMs that have stopped.
TEST_CASE("a VM does not wait for VMs that have stopped as planned") {
  synchronizer_fixture Fixture;
  Fixture.Store.put("vm", "vm-2", vmText("127.0.0.1:7742", true));
  Fixture.Store.put("vm", "vm-3", vmText("127.0.0.1:7743", true));

  SUBCASE("when it starts anew") {
    SUBCASE("after its process was killed") {
      Fixture.Store.put("vm", "vm-1", ownText(false));
    }
    SUBCASE("after it had stopped as planned itself") {
      Fixture.Store.put("vm", "vm-1", ownText(true));
    }
    SUBCASE("at a new address") {}
    startAndEnter(Fixture);
    CHECK(fractionMade(Fixture) == doctest::Approx(1));
    CHECK(Fixture.onThread([&] { return Fixture.Fleet.sharingVms(); }) == 1);
  }

  SUBCASE("also where another VM has told it their names") {
    Fixture.Store.put("vm", "vm-1", ownText(false));
    known_vm Told;
    Told.Name = vm_name("vm-2");
    Told.GossipAddress = "127.0.0.1:7742";
    Fixture.Fleet.learnVm(Told);
    startAndEnter(Fixture);
    CHECK(fractionMade(Fixture) == doctest::Approx(1));
  }
}

// Otherwise VMs on the sides of a cut would make a limit's tokens several
// times.
TEST_CASE("a VM that starts counts the VMs that have not said that they stop") {
  synchronizer_fixture Fixture;
  Fixture.Store.put("vm", "vm-2", vmText("127.0.0.1:7742", false));
  Fixture.Store.put("vm", "vm-3", vmText("127.0.0.1:7743", false));

  SUBCASE("it makes its own part, as they count it too") {
    Fixture.Store.put("vm", "vm-1", ownText(false));
    startAndEnter(Fixture);
    CHECK(fractionMade(Fixture) == doctest::Approx(1.0 / 3));
  }
  SUBCASE("nothing while they may have learned that it has stopped") {
    Fixture.Store.put("vm", "vm-1", ownText(true));
    startAndEnter(Fixture);
    CHECK(fractionMade(Fixture) == 0);
  }
  SUBCASE("nothing while they may never have heard of it") {
    startAndEnter(Fixture);
    CHECK(fractionMade(Fixture) == 0);
  }
  SUBCASE("one that came back under its name is counted again") {
    Fixture.Store.put("vm", "vm-1", ownText(false));
    Fixture.Store.put("vm", "vm-3", vmText("127.0.0.1:7743", true));
    Fixture.Store.put("vm", "vm-3", vmText("127.0.0.1:7743", false, 100));
    startAndEnter(Fixture);
    CHECK(fractionMade(Fixture) == doctest::Approx(1.0 / 3));
  }
}

TEST_CASE("a VM that stops as planned marks its row in the list of VMs") {
  synchronizer_fixture Fixture;
  startAndEnter(Fixture);
  const auto Stop = [&] {
    Fixture.onThread([&] {
      Fixture.Fleet.beginStop(boot_clock::now());
      Fixture.Synchronizer->stop();
      return true;
    });
  };
  const auto IsMarked = [&] {
    const auto Row = ownRow(Fixture);
    return Row && Row->HasStopped;
  };

  SUBCASE("at once") {
    Stop();
    CHECK(Fixture.awaitBriefly(IsMarked));
  }
  SUBCASE("when the store answers again, if it does so in time") {
    Fixture.setBehavior(store_behavior::Busy);
    Stop();
    const auto Calls = Fixture.onThread([&] { return Fixture.Store.Calls; });
    Fixture.await([&] { return Fixture.Store.Calls > Calls + 4; });
    CHECK_FALSE(Fixture.onThread(IsMarked));
    Fixture.setBehavior(store_behavior::Serving);
    CHECK(Fixture.awaitBriefly(IsMarked));
  }
  SUBCASE("not the row of the process after it") {
    Fixture.change("vm", "vm-1", vmText("127.0.0.1:7740", false, 100));
    const auto Writes = [&] { return Fixture.Store.AnsweredReads[""]; };
    const auto Before = Fixture.onThread(Writes);
    Stop();
    CHECK(Fixture.awaitBriefly([&] { return Writes() > Before; }));
    CHECK_FALSE(Fixture.onThread(IsMarked));
  }
}

// A write of the former process may be carried out late.
TEST_CASE("a VM that starts anew replaces the row of its former process") {
  synchronizer_fixture Fixture;
  Fixture.Store.put("vm", "vm-1", ownText(false));
  const auto Former = Fixture.Store.revision();
  startAndEnter(Fixture);
  CHECK(Fixture.onThread([&] { return Fixture.Store.revision(); }) > Former);
}
