#include "sesamepaddle/membership/member_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace sesamepaddle;

namespace {

constexpr incarnation Vm{7};
constexpr time_point Start{std::chrono::hours(1)};

member_table makeTable() {
  member_table Table;
  Table.describe({Vm, {vm_name("vm"), {}, failure_domain_name("a"), {}, {}}},
                 Start);
  return Table;
}

rc::Gen<member_entry> anyEntry() {
  return rc::gen::build<member_entry>(
      rc::gen::set(&member_entry::Incarnation, rc::gen::just(Vm)),
      rc::gen::set(&member_entry::Heartbeat,
                   rc::gen::inRange<std::uint64_t>(0, 4)),
      rc::gen::set(&member_entry::State,
                   rc::gen::element(member_state::Live, member_state::Suspected,
                                    member_state::Leaving)));
}

} // namespace

TEST_CASE("merging entries in another order or twice gives the same state") {
  const bool Held = rc::check([] {
    auto Entries = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<member_entry>>(anyEntry()));
    member_table First = makeTable();
    for (const auto &Entry : Entries)
      First.merge(Entry, Start);
    std::ranges::reverse(Entries);
    Entries.push_back(*rc::gen::elementOf(Entries));
    member_table Second = makeTable();
    for (const auto &Entry : Entries)
      Second.merge(Entry, Start);
    RC_ASSERT(First.find(Vm)->Entry.State == Second.find(Vm)->Entry.State);
  });
  CHECK(Held);
}

TEST_CASE("an incarnation that has left does not become live again") {
  member_table Table = makeTable();
  Table.merge({Vm, 5, member_state::Live}, Start);
  Table.merge({Vm, 6, member_state::Leaving}, Start);

  SUBCASE("when a higher heartbeat arrives") {
    Table.merge({Vm, 9, member_state::Live}, Start);
    CHECK(Table.find(Vm)->Entry.State == member_state::Leaving);
  }

  SUBCASE("when it was removed from the table and is described again") {
    Table.forget(Start + std::chrono::hours(1),
                 [](const member_record &) { return true; });
    CHECK(Table.find(Vm) == nullptr);
    Table.describe({Vm, {vm_name("vm"), {}, failure_domain_name("a"), {}, {}}},
                   Start);
    Table.merge({Vm, 5, member_state::Live}, Start);
    CHECK(Table.find(Vm)->Entry.State == member_state::Leaving);
  }
}
