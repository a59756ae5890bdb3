#include "sesamepaddle/net/deadline_queue.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;

TEST_CASE("a deadline queue calls its functions when their deadlines pass") {
  asio::io_context Context(1);
  deadline_queue Queue(Context.get_executor());
  std::vector<std::string> Called;
  const auto Note = [&](std::string Name) {
    return [&Called, Name] { Called.push_back(Name); };
  };
  const auto Now = boot_clock::now();
  auto Late = Queue.add(Now + milliseconds(30), Note("late"));
  auto Early = Queue.add(Now + milliseconds(10), Note("early"));

  SUBCASE("in the order of the deadlines") {
    Context.run();
    CHECK(Called == std::vector<std::string>{"early", "late"});
    CHECK(Queue.size() == 0);
  }

  SUBCASE("not one that was withdrawn") {
    Early = {};
    Context.run();
    CHECK(Called == std::vector<std::string>{"late"});
  }

  SUBCASE("a deadline in the past is due at the next pass of the loop") {
    auto Past = Queue.add(Now - milliseconds(5), Note("past"));
    CHECK(Called.empty());
    Context.run();
    CHECK(Called == std::vector<std::string>{"past", "early", "late"});
  }

  SUBCASE("a called function may add and withdraw deadlines") {
    deadline_queue::registration Added;
    auto First = Queue.add(Now + milliseconds(5), [&] {
      Late = {};
      Added = Queue.add(Now + milliseconds(20), Note("added"));
    });
    Context.run();
    CHECK(Called == std::vector<std::string>{"early", "added"});
  }

  SUBCASE("a registration may outlive its queue") {
    deadline_queue::registration Left;
    {
      deadline_queue Short(Context.get_executor());
      Left = Short.add(Now, Note("gone"));
    }
    Context.run();
    CHECK(Called == std::vector<std::string>{"early", "late"});
  }
}
