#include "sesamepaddle/core/rcu_cell.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace sesamepaddle;

namespace {

/** Published with two equal members; a reader that sees them differ has read a
    partly replaced value. */
struct pair_of_equals {
  int First;
  int Second;
};

} // namespace

TEST_CASE("a cell can be read while its value is replaced") {
  rcu_cell<pair_of_equals> Cell(
      std::make_shared<pair_of_equals>(pair_of_equals{0, 0}));

  SUBCASE("a reader sees the published value") {
    Cell.publish(std::make_shared<pair_of_equals>(pair_of_equals{4, 4}));
    CHECK(Cell.read([](const auto &Value) { return Value.First; }) == 4);
  }

  SUBCASE("a snapshot keeps its value") {
    const auto Kept = Cell.snapshot();
    Cell.publish(std::make_shared<pair_of_equals>(pair_of_equals{5, 5}));
    CHECK(Kept->First == 0);
    CHECK(Cell.snapshot()->First == 5);
  }

  SUBCASE("readers never see a partly replaced value") {
    std::atomic<bool> Done{false};
    std::atomic<int> Torn{0};
    std::vector<std::thread> Readers;
    Readers.reserve(3);
    for (int Index = 0; Index < 3; ++Index)
      Readers.emplace_back([&] {
        while (!Done.load())
          Torn += Cell.read(
              [](const auto &Value) { return Value.First != Value.Second; });
      });
    for (int Round = 1; Round <= 200; ++Round)
      Cell.publish(
          std::make_shared<pair_of_equals>(pair_of_equals{Round, Round}));
    Done.store(true);
    for (auto &Reader : Readers)
      Reader.join();
    CHECK(Torn.load() == 0);
  }
}
