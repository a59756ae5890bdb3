#include "sesamepaddle/net/body_memory.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace sesamepaddle;

TEST_CASE("memory for bodies is limited for all messages together") {
  const auto Memory = std::make_shared<body_memory>(100);
  body_memory::holding First(Memory);
  CHECK(First.resize(70));
  {
    body_memory::holding Second(Memory);
    CHECK(Second.resize(30));
    CHECK_FALSE(Second.resize(31));
    CHECK(Memory->held() == 100);
    CHECK(Second.resize(10));
    CHECK(Memory->available() == 20);
  }
  CHECK(Memory->held() == 70);
}

TEST_CASE("a body that grows counts both copies while its content moves") {
  const auto Memory = std::make_shared<body_memory>(1'000);
  body_memory::holding Held(Memory);
  std::string Body(300, 'x');
  REQUIRE(Body.capacity() == 300);
  CHECK_FALSE(Held.reserve(Body, 500));
  CHECK(Body.capacity() == 300);
  CHECK(Held.reserve(Body, 400));
  CHECK(Body.capacity() >= 700);
  CHECK(Memory->held() == 700);
}

TEST_CASE("when there is no room, a body that is still arriving is given up") {
  const auto Memory = std::make_shared<body_memory>(1'600);
  std::vector<int> GivenUp;
  const auto Arrive = [&](int Number, std::size_t Bytes) {
    auto Held = std::make_unique<body_memory::holding>(
        Memory, [&, Number] { GivenUp.push_back(Number); });
    CHECK(Held->resize(Bytes));
    return Held;
  };

  SUBCASE("the largest one of unknown length") {
    const auto Known = Arrive(1, 800);
    Known->setLengthKnown();
    const auto Large = Arrive(2, 400);
    const auto Small = Arrive(3, 200);
    const auto Next = Arrive(4, 300);
    CHECK(GivenUp == std::vector{2});
    CHECK(Large->isGivenUp());
    CHECK(Large->bytes() == 0);
    CHECK(Memory->held() == 1'300);
    CHECK(Memory->givenUp() == 1);
    // Bytes that it had received before are parsed after it was given up.
    std::string Rest;
    CHECK_FALSE(Large->resize(10));
    CHECK_FALSE(Large->reserve(Rest, 10));
    CHECK(Memory->held() == 1'300);
  }

  SUBCASE("the largest one, where those of unknown length are small") {
    const auto Known = Arrive(1, 800);
    Known->setLengthKnown();
    const auto LessKnown = Arrive(2, 700);
    LessKnown->setLengthKnown();
    const auto Small = Arrive(3, 90);
    const auto Next = Arrive(4, 90);
    CHECK(GivenUp == std::vector{1});
  }

  SUBCASE("the one that grows, when it is that one") {
    const auto Known = Arrive(1, 800);
    Known->setLengthKnown();
    const auto Endless = Arrive(2, 700);
    CHECK_FALSE(Endless->resize(900));
    CHECK(GivenUp.empty());
    CHECK(Memory->held() == 1'500);
  }

  SUBCASE("never one that is whole") {
    const auto Whole = Arrive(1, 1'500);
    Whole->setWhole();
    const auto Next = Arrive(2, 90);
    CHECK_FALSE(Next->resize(200));
    CHECK(GivenUp.empty());
  }
}

TEST_CASE("large bodies leave room for small ones") {
  const auto Memory = std::make_shared<body_memory>(
      1'000, body_memory::small_bodies{10, 50, 200});
  body_memory::holding Large(Memory, [] {});
  CHECK_FALSE(Large.resize(811));
  CHECK(Large.resize(810));
  Large.setWhole();
  CHECK(Memory->held() == 800);
  std::vector<std::unique_ptr<body_memory::holding>> Small;
  for (int Number = 0; Number < 4; ++Number) {
    Small.push_back(std::make_unique<body_memory::holding>(Memory));
    CHECK(Small.back()->resize(60));
  }
  CHECK(Memory->held() == 1'000);
  // What is free for each body never runs out.
  body_memory::holding Last(Memory);
  CHECK(Last.resize(10));
  CHECK_FALSE(Last.resize(11));
  CHECK(Last.isCrowdedOut());
}

TEST_CASE("a whole body is given up only while its taker makes no progress") {
  const auto Memory = std::make_shared<body_memory>(1'000);
  const auto Now = boot_clock::now();
  std::vector<int> GivenUp;
  body_memory::holding First(Memory);
  body_memory::holding Second(Memory);
  REQUIRE(First.resize(400));
  REQUIRE(Second.resize(400));
  body_memory::holding Next(Memory, [] {});
  Next.setLengthKnown();
  First.beginTaking(Now - std::chrono::seconds(20),
                    [&] { GivenUp.push_back(1); });
  Second.beginTaking(Now - std::chrono::seconds(30),
                     [&] { GivenUp.push_back(2); });

  SUBCASE("the one without progress for longest is the first") {
    CHECK(Next.resize(500));
    CHECK(GivenUp == std::vector{2});
    CHECK(Second.isGivenUp());
    CHECK(Memory->held() == 900);
    CHECK(Next.resize(900));
    CHECK(GivenUp == std::vector{2, 1});
  }

  SUBCASE("progress keeps it") {
    First.noteProgress(Now + std::chrono::hours(1));
    Second.noteProgress(Now + std::chrono::hours(1));
    CHECK_FALSE(Next.resize(500));
    CHECK(Next.isCrowdedOut());
    CHECK(GivenUp.empty());
  }

  SUBCASE("it is not given up when nobody takes it any more") {
    First.endTaking();
    Second.endTaking();
    CHECK_FALSE(Next.resize(500));
    CHECK(GivenUp.empty());
  }

  SUBCASE("nothing is given up for a body that never fits") {
    CHECK_FALSE(Next.resize(1'001));
    CHECK_FALSE(Next.isCrowdedOut());
    CHECK(GivenUp.empty());
  }

  SUBCASE("first comes a body that may have no end") {
    bool IsEndlessGivenUp = false;
    body_memory::holding Endless(Memory, [&] { IsEndlessGivenUp = true; });
    REQUIRE(Endless.resize(150));
    CHECK(Next.resize(180));
    CHECK(IsEndlessGivenUp);
    CHECK(GivenUp.empty());
    CHECK_FALSE(Endless.isCrowdedOut());
  }
}

TEST_CASE("fuzz: bodies never hold more than the limit, and each is whole, "
          "refused or given up") {
  const bool IsBounded = rc::check([] {
    constexpr std::size_t Limit = 10'000;
    const auto Memory = std::make_shared<body_memory>(std::size_t{Limit});
    struct body {
      std::unique_ptr<body_memory::holding> Held;
      bool IsGivenUp = false;
    };
    std::vector<std::unique_ptr<body>> Bodies;
    const auto Steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100));
    for (const int Step : Steps) {
      const auto Size = *rc::gen::inRange<std::size_t>(0, 4'000);
      if (Bodies.empty() || Step < 40) {
        auto Body = std::make_unique<body>();
        Body->Held = std::make_unique<body_memory::holding>(
            Memory, [Raw = Body.get()] { Raw->IsGivenUp = true; });
        if (Step % 2 == 0)
          Body->Held->setLengthKnown();
        Bodies.push_back(std::move(Body));
      }
      auto &Body = *Bodies[*rc::gen::inRange<std::size_t>(0, Bodies.size())];
      if (Step >= 95) {
        Body.Held->setWhole();
      } else if (Step >= 85) {
        std::erase_if(Bodies,
                      [&](const auto &Entry) { return Entry.get() == &Body; });
      } else if (!Body.Held->isGivenUp()) {
        const auto Before = Body.Held->bytes();
        const bool HasRoom = Body.Held->resize(Size);
        RC_ASSERT(Body.Held->bytes() == (HasRoom ? Size : Before));
      }
      std::size_t Sum = 0;
      for (const auto &Entry : Bodies) {
        Sum += Entry->Held->bytes();
        RC_ASSERT(Entry->IsGivenUp == Entry->Held->isGivenUp());
      }
      RC_ASSERT(Sum == Memory->held());
      RC_ASSERT(Sum <= std::size_t{Limit});
    }
  });
  CHECK(IsBounded);
}
