#include "sesamepaddle/idempotency/idempotency_registry.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace sesamepaddle;

namespace {

const request_scope Scope{service_name("pedidos"), workspace_name("bakery")};

std::shared_ptr<const http_reply> answer(std::string Body) {
  return std::make_shared<http_reply>(http_reply{200, {}, std::move(Body)});
}

/** VMs that issue identifiers and run requests, with an oracle that counts how
    often each request ran. */
class fleet {
public:
  explicit fleet(bool KeepsIncarnation) : KeepsIncarnation(KeepsIncarnation) {
    for (std::size_t Vm = 0; Vm < Registries.size(); ++Vm)
      restart(Vm);
  }

  void step(unsigned Draw) {
    const std::size_t Vm = Draw % Registries.size();
    const unsigned Choice = Draw / 4 % 16;
    const unsigned Pick = Draw / 64;
    if (Choice < 4)
      Issued.push_back(Registries[Vm]->issue(Scope));
    else if (Choice < 11 && !Issued.empty())
      attempt(Vm, Issued[Pick % Issued.size()]);
    else if (Choice < 15 && !Running.empty())
      finish(Pick);
    else if (Choice == 15)
      restart(Vm);
  }

  /** @returns true when no request ran twice, none ran that was reported as not
      run, and no call of expect() failed. */
  bool isAtMostOnce() const {
    if (!IsAtMostOnce)
      return false;
    for (const auto &[Text, Count] : Runs)
      if (Count > 1 || (Count > 0 && ReportedNotRun.contains(Text)))
        return false;
    return true;
  }

private:
  struct running_request {
    std::size_t Vm;
    request_identifier Identifier;
  };

  // A process that is killed loses its running requests: they end without
  // settle(), and the oracle does not count them as run.
  void restart(std::size_t Vm) {
    std::erase_if(Running, [Vm](const auto &Run) { return Run.Vm == Vm; });
    if (!KeepsIncarnation)
      ++Incarnation;
    Registries[Vm] = std::make_unique<idempotency_registry>(
        vm_identity{vm_name("vm-" + std::to_string(Vm)),
                    incarnation{Incarnation}},
        "secret " + std::to_string(Incarnation), idempotency_limits{4, 600});
  }

  void attempt(std::size_t Vm, const request_identifier &Identifier) {
    auto Result = Registries[Vm]->begin(Identifier, Scope, "body", [] {});
    if (Result.Decision == idempotency_decision::Foreign) {
      Vm = static_cast<std::size_t>(Identifier.Issuer.Name.str().back() - '0');
      Result = Registries[Vm]->begin(Identifier, Scope, "body", [] {});
    }
    const std::string Text = Identifier.str();
    if (Result.Decision == idempotency_decision::Run)
      Running.push_back({Vm, Identifier});
    if (Result.Decision == idempotency_decision::NotRun ||
        Result.Decision == idempotency_decision::NotIssued)
      ReportedNotRun[Text] = true;
    if (Result.Decision == idempotency_decision::Answered)
      expect(Result.Answer->Body == Text);
    if (Result.Decision == idempotency_decision::Answered ||
        Result.Decision == idempotency_decision::Ran)
      expect(Runs[Text] == 1);
  }

  // The request may not reach the upstream, and its answer may be lost.
  void finish(unsigned Draw) {
    const auto Place =
        Running.begin() + static_cast<std::ptrdiff_t>(Draw % Running.size());
    const running_request Run = *Place;
    Running.erase(Place);
    const std::string Text = Run.Identifier.str();
    auto Result = execution_result::NotRun;
    if (Draw % 5 != 0) {
      ++Runs[Text];
      Result = Draw % 3 == 0 ? execution_result::Unknown
                             : execution_result::Answered;
    }
    if (Result == execution_result::NotRun)
      ReportedNotRun[Text] = true;
    Registries[Run.Vm]->settle(Run.Identifier, Result, answer(Text));
    expect(Registries[Run.Vm]->answerBytes() <= 600);
    expect(Registries[Run.Vm]->size() <= 4);
  }

  void expect(bool Holds) { IsAtMostOnce = IsAtMostOnce && Holds; }

  bool KeepsIncarnation;
  bool IsAtMostOnce = true;
  std::uint64_t Incarnation = 0;
  std::array<std::unique_ptr<idempotency_registry>, 3> Registries;
  std::vector<request_identifier> Issued;
  std::vector<running_request> Running;
  std::map<std::string, int> Runs;
  std::map<std::string, bool> ReportedNotRun;
};

bool runsAtMostOnce(bool KeepsIncarnation, const std::vector<unsigned> &Draws) {
  fleet Fleet(KeepsIncarnation);
  for (const unsigned Draw : Draws)
    Fleet.step(Draw);
  return Fleet.isAtMostOnce();
}

std::vector<unsigned> drawSteps() {
  return *rc::gen::resize(400, rc::gen::container<std::vector<unsigned>>(
                                   rc::gen::inRange(0U, 1'000'000U)));
}

} // namespace

TEST_CASE("no identifier runs twice, whatever is repeated, lost or killed") {
  CHECK(rc::check("at most once",
                  [] { RC_ASSERT(runsAtMostOnce(false, drawSteps())); }));

  SUBCASE("a process that reuses its predecessor's incarnation would run a "
          "request twice") {
    std::uint64_t State = 7;
    std::vector<unsigned> Draws;
    for (int Step = 0; Step < 4'000; ++Step) {
      State = State * 6364136223846793005U + 1442695040888963407U;
      Draws.push_back(static_cast<unsigned>(State >> 40U));
    }
    CHECK_FALSE(runsAtMostOnce(true, Draws));
    CHECK(runsAtMostOnce(false, Draws));
  }
}

TEST_CASE("a process knows what became of the requests it ran") {
  idempotency_registry Registry({vm_name("vm.1"), incarnation{9}}, "secret",
                                {2, 1'000});
  const auto First = Registry.issue(Scope);
  int Notified = 0;
  const auto Begin = [&](const request_identifier &Identifier) {
    return Registry.begin(Identifier, Scope, "body", [&] { ++Notified; });
  };
  REQUIRE(Begin(First).Decision == idempotency_decision::Run);

  SUBCASE("a concurrent repeat waits and gets the same answer") {
    CHECK(Begin(First).Decision == idempotency_decision::Wait);
    for (const auto &Waiter :
         Registry.settle(First, execution_result::Answered, answer("done")))
      Waiter();
    CHECK(Notified == 1);
    CHECK(Begin(First).Answer->Body == "done");
  }
  SUBCASE("the outcome NotRun is final") {
    Registry.settle(First, execution_result::NotRun, nullptr);
    CHECK(Begin(First).Decision == idempotency_decision::NotRun);
  }
  SUBCASE("other content under the same identifier is refused") {
    CHECK(Registry.begin(First, Scope, "other", {}).Decision ==
          idempotency_decision::Reused);
  }
  SUBCASE("at the limit the oldest record is evicted and its request never "
          "runs again") {
    const auto Unused = Registry.issue(Scope);
    Registry.settle(First, execution_result::Unknown, nullptr);
    const auto Third = Registry.issue(Scope);
    const auto Fourth = Registry.issue(Scope);
    CHECK(Begin(Third).Decision == idempotency_decision::Run);
    CHECK(Begin(Fourth).Decision == idempotency_decision::Run);
    CHECK(Begin(First).Decision == idempotency_decision::Forgotten);
    CHECK(Begin(Unused).Decision == idempotency_decision::Busy);
    Registry.settle(Third, execution_result::Answered, answer("done"));
    CHECK(Begin(Unused).Decision == idempotency_decision::Forgotten);
  }
  SUBCASE(
      "a request whose answer is too long to keep is still known to have run") {
    Registry.settle(First, execution_result::Answered,
                    answer(std::string(2'000, 'x')));
    CHECK(Begin(First).Decision == idempotency_decision::Ran);
  }
  SUBCASE("an identifier is not valid for another workspace, process or VM") {
    const request_scope Other{Scope.Service, workspace_name("market")};
    CHECK(Registry.begin(First, Other, "body", {}).Decision ==
          idempotency_decision::NotIssued);
    auto Changed = *request_identifier::parse(First.str());
    CHECK(Changed == First);
    Changed.Issuer.Incarnation = incarnation{8};
    CHECK(Begin(Changed).Decision == idempotency_decision::Unknown);
    Changed.Issuer.Name = vm_name("vm.2");
    CHECK(Begin(Changed).Decision == idempotency_decision::Foreign);
  }
}

TEST_CASE("malformed identifiers are not parsed") {
  for (const char *Text : {"", "vm", "vm.1.2", "vm.1.2.short", ".1.2.3",
                           "vm.x.2.00000000000000000000000000000000"})
    CHECK_FALSE(request_identifier::parse(Text).has_value());
  CHECK(rc::check("parse survives any text", [](const std::string &Text) {
    const auto Identifier = request_identifier::parse(Text);
    RC_ASSERT(!Identifier || !Identifier->Issuer.Name.empty());
  }));
}
