#include "sesamepaddle/steering/lookup_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace sesamepaddle;

namespace {

entry_candidate makeVm(const std::string &Name, const std::string &Region,
                       const std::string &Domain, bool IsLeaving = false) {
  entry_candidate Vm;
  Vm.Name = vm_name(Name);
  Vm.Region = region_name(Region);
  Vm.FailureDomain = failure_domain_name(Domain);
  Vm.CallerAddress = Name;
  Vm.IsLeaving = IsLeaving;
  return Vm;
}

std::vector<entry_candidate> makeVms() {
  return {makeVm("a1", "lima", "lima-a"), makeVm("a2", "lima", "lima-a"),
          makeVm("b1", "lima", "lima-b"), makeVm("c1", "arequipa", "x-c")};
}

lookup_table makeTable(std::span<const entry_candidate> Vms,
                       std::shared_ptr<const block_map> Blocks = nullptr,
                       std::vector<lookup_site> Sites = {}) {
  return {std::move(Blocks), Sites.empty() ? sitesOfDomains(Vms) : Sites, Vms,
          failure_domain_name("lima-a"), std::chrono::milliseconds(500)};
}

} // namespace

TEST_CASE("a look-up returns the VMs to use") {
  auto Vms = makeVms();
  lookup_query Query;
  Query.Service = "pedidos";

  SUBCASE("the nearest site first, then its region, then other regions") {
    const auto Answer = makeTable(Vms).find(Query);
    CHECK(Answer.Choices.size() == 2);
    REQUIRE(Answer.Fallbacks.size() == 2);
    CHECK(Answer.Fallbacks[0].Address == "b1");
    CHECK(Answer.Fallbacks[1].Address == "c1");
  }

  SUBCASE("a small workspace gets one VM") {
    Query.Workspace = "panaderia";
    const auto Answer = makeTable(Vms).find(Query);
    REQUIRE(Answer.Choices.size() == 1);
    CHECK(Answer.Fallbacks.size() == 3);

    SUBCASE("the home of its limit comes first, when it is known") {
      for (const char *Home : {"a1", "a2"}) {
        Query.Home = Home;
        CHECK(makeTable(Vms).find(Query).Choices[0].Address == Home);
      }
    }

    SUBCASE("never a VM that is leaving") {
      const std::string First = Answer.Choices[0].Address;
      for (auto &Vm : Vms)
        Vm.IsLeaving = Vm.Name.str() == First;
      const auto Next = makeTable(Vms).find(Query);
      CHECK(Next.Choices[0].Address != First);
      CHECK(Next.Choices[0].Address[0] == 'a');
      for (const auto &Choice : Next.Fallbacks)
        CHECK(Choice.Address != First);
    }
  }

  SUBCASE("when a whole failure domain leaves, VMs of its region are used") {
    Vms[0].IsLeaving = Vms[1].IsLeaving = true;
    const auto Answer = makeTable(Vms).find(Query);
    REQUIRE(Answer.Choices.size() == 1);
    CHECK(Answer.Choices[0].Address == "b1");
  }

  SUBCASE("a client in a known block is directed to its nearest site") {
    const std::vector<client_block> Blocks = {
        {*parseClientAddress("198.51.100.0"), 24, 2}};
    const auto Table =
        makeTable(Vms, std::make_shared<const block_map>(Blocks));
    Query.Client = parseClientAddress("198.51.100.9");
    CHECK(Table.find(Query).Choices[0].Address == "c1");
    Query.Client = parseClientAddress("203.0.113.1");
    CHECK(Table.find(Query).Choices[0].Address[0] == 'a');
  }

  SUBCASE("blocks are divided among sites by their shares") {
    auto Sites = sitesOfDomains(Vms);
    Sites[0].Order = {0, 1, 2};
    Sites[0].Shares = {0.7, 0.3, 0};
    const auto Table = makeTable(Vms, nullptr, Sites);
    std::map<char, unsigned> Count;
    constexpr std::uint32_t Blocks = 10'000;
    for (std::uint32_t Block = 0; Block < Blocks; ++Block) {
      Query.Client = client_address(Block << 8U);
      ++Count[Table.find(Query).Choices[0].Address[0]];
    }
    CHECK(Count['a'] > 6'700);
    CHECK(Count['a'] < 7'300);
    CHECK(Count['c'] == 0);
  }
}

TEST_CASE("malformed IPv4 addresses are rejected") {
  CHECK(parseClientAddress("1.2.3.4") == client_address(0x01020304));
  for (const char *Text : {"", "1.2.3", "1.2.3.4.5", "1.2.3.256", "a.b.c.d"})
    CHECK_FALSE(parseClientAddress(Text).has_value());
}

TEST_CASE("fuzz: the block map finds the longest prefix") {
  const bool Holds = rc::check([] {
    std::vector<client_block> Blocks;
    const auto Count = *rc::gen::inRange(0, 30);
    Blocks.reserve(static_cast<std::size_t>(Count));
    for (int Index = 0; Index < Count; ++Index)
      Blocks.push_back({client_address(*rc::gen::inRange(0U, 64U) << 26U),
                        static_cast<std::uint8_t>(*rc::gen::inRange(0, 9)),
                        static_cast<site_index>(Index)});
    const block_map Map(Blocks);
    const auto Client = *rc::gen::arbitrary<std::uint32_t>();
    int LongestBits = -1;
    std::optional<site_index> Expected;
    for (const auto &Block : Blocks) {
      const std::uint64_t Size = std::uint64_t{1} << (32U - Block.PrefixBits);
      const bool Covers =
          static_cast<std::uint32_t>(Block.Base) / Size == Client / Size;
      if (Covers && Block.PrefixBits >= LongestBits) {
        LongestBits = Block.PrefixBits;
        Expected = Block.NearestSite;
      }
    }
    RC_ASSERT(Map.find(client_address(Client)) == Expected);
  });
  CHECK(Holds);
}
