#include "sesamepaddle/once/idempotency_registry.h"

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

/** VMs with their processes, and an oracle that counts the runs. */
class fleet {
public:
  explicit fleet(bool KeepsIncarnation) : KeepsIncarnation(KeepsIncarnation) {
    for (std::size_t Vm = 0; Vm < Ledgers.size(); ++Vm)
      restart(Vm);
  }

  void step(unsigned Draw) {
    const std::size_t Vm = Draw % Ledgers.size();
    const unsigned Choice = Draw / 4 % 16;
    const unsigned Pick = Draw / 64;
    if (Choice < 4)
      Issued.push_back(Ledgers[Vm]->issue(Scope));
    else if (Choice < 11 && !Issued.empty())
      attempt(Vm, Issued[Pick % Issued.size()]);
    else if (Choice < 15 && !Running.empty())
      finish(Pick);
    else if (Choice == 15)
      restart(Vm);
  }

  bool isSound() const {
    if (!IsSound)
      return false;
    for (const auto &[Text, Count] : Runs)
      if (Count > 1 || (Count > 0 && SaidNotRun.contains(Text)))
        return false;
    return true;
  }

private:
  struct running_request {
    std::size_t Vm;
    request_identifier Identifier;
  };

  // A killed process takes its running requests along; whether their upstream
  // ran them is counted when they are begun.
  void restart(std::size_t Vm) {
    std::erase_if(Running, [Vm](const auto &Run) { return Run.Vm == Vm; });
    if (!KeepsIncarnation)
      ++Incarnation;
    Ledgers[Vm] = std::make_unique<idempotency_registry>(
        vm_identity{vm_name("vm-" + std::to_string(Vm)),
                    incarnation{Incarnation}},
        "secret " + std::to_string(Incarnation), idempotency_limits{4, 600});
  }

  void attempt(std::size_t Vm, const request_identifier &Identifier) {
    auto Verdict = Ledgers[Vm]->begin(Identifier, Scope, "body", [] {});
    if (Verdict.Decision == idempotency_decision::Foreign) {
      Vm = static_cast<std::size_t>(Identifier.Issuer.Name.str().back() - '0');
      Verdict = Ledgers[Vm]->begin(Identifier, Scope, "body", [] {});
    }
    const std::string Text = Identifier.str();
    if (Verdict.Decision == idempotency_decision::Run)
      Running.push_back({Vm, Identifier});
    if (Verdict.Decision == idempotency_decision::NotRun ||
        Verdict.Decision == idempotency_decision::NotIssued)
      SaidNotRun[Text] = true;
    if (Verdict.Decision == idempotency_decision::Answered)
      expect(Verdict.Answer->Body == Text);
    if (Verdict.Decision == idempotency_decision::Answered ||
        Verdict.Decision == idempotency_decision::Ran)
      expect(Runs[Text] == 1);
  }

  // The request reaches the upstream or not; its answer comes back or is lost.
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
      SaidNotRun[Text] = true;
    Ledgers[Run.Vm]->settle(Run.Identifier, Result, answer(Text));
    expect(Ledgers[Run.Vm]->answerBytes() <= 600);
    expect(Ledgers[Run.Vm]->size() <= 4);
  }

  void expect(bool Holds) { IsSound = IsSound && Holds; }

  bool KeepsIncarnation;
  bool IsSound = true;
  std::uint64_t Incarnation = 0;
  std::array<std::unique_ptr<idempotency_registry>, 3> Ledgers;
  std::vector<request_identifier> Issued;
  std::vector<running_request> Running;
  std::map<std::string, int> Runs;
  std::map<std::string, bool> SaidNotRun;
};

bool staysSound(bool KeepsIncarnation, const std::vector<unsigned> &Draws) {
  fleet Fleet(KeepsIncarnation);
  for (const unsigned Draw : Draws)
    Fleet.step(Draw);
  return Fleet.isSound();
}

std::vector<unsigned> drawSteps() {
  return *rc::gen::resize(400, rc::gen::container<std::vector<unsigned>>(
                                   rc::gen::inRange(0U, 1'000'000U)));
}

} // namespace

TEST_CASE("no identifier runs twice, whatever is repeated, lost or killed") {
  CHECK(rc::check("at most once",
                  [] { RC_ASSERT(staysSound(false, drawSteps())); }));

  SUBCASE("a process that took over its predecessor's incarnation would run "
          "one twice") {
    std::uint64_t State = 7;
    std::vector<unsigned> Draws;
    for (int Step = 0; Step < 4'000; ++Step) {
      State = State * 6364136223846793005U + 1442695040888963407U;
      Draws.push_back(static_cast<unsigned>(State >> 40U));
    }
    CHECK_FALSE(staysSound(true, Draws));
    CHECK(staysSound(false, Draws));
  }
}

TEST_CASE("a process remembers what it ran") {
  idempotency_registry Ledger({vm_name("vm.1"), incarnation{9}}, "secret",
                              {2, 1'000});
  const auto First = Ledger.issue(Scope);
  int Woken = 0;
  const auto Begin = [&](const request_identifier &Identifier) {
    return Ledger.begin(Identifier, Scope, "body", [&] { ++Woken; });
  };
  REQUIRE(Begin(First).Decision == idempotency_decision::Run);

  SUBCASE("a concurrent repeat waits and gets the same answer") {
    CHECK(Begin(First).Decision == idempotency_decision::Wait);
    for (const auto &Waiter :
         Ledger.settle(First, execution_result::Answered, answer("done")))
      Waiter();
    CHECK(Woken == 1);
    CHECK(Begin(First).Answer->Body == "done");
  }
  SUBCASE("not run is final") {
    Ledger.settle(First, execution_result::NotRun, nullptr);
    CHECK(Begin(First).Decision == idempotency_decision::NotRun);
  }
  SUBCASE("other content under the same identifier is refused") {
    CHECK(Ledger.begin(First, Scope, "other", {}).Decision ==
          idempotency_decision::Reused);
  }
  SUBCASE("at the bound the oldest is forgotten and never runs again") {
    const auto Unused = Ledger.issue(Scope);
    Ledger.settle(First, execution_result::Unknown, nullptr);
    const auto Third = Ledger.issue(Scope);
    const auto Fourth = Ledger.issue(Scope);
    CHECK(Begin(Third).Decision == idempotency_decision::Run);
    CHECK(Begin(Fourth).Decision == idempotency_decision::Run);
    CHECK(Begin(First).Decision == idempotency_decision::Forgotten);
    CHECK(Begin(Unused).Decision == idempotency_decision::Busy);
    Ledger.settle(Third, execution_result::Answered, answer("done"));
    CHECK(Begin(Unused).Decision == idempotency_decision::Forgotten);
  }
  SUBCASE("an answer that is too long to keep leaves the fact that it ran") {
    Ledger.settle(First, execution_result::Answered,
                  answer(std::string(2'000, 'x')));
    CHECK(Begin(First).Decision == idempotency_decision::Ran);
  }
  SUBCASE("another workspace, process or VM can't use it") {
    const request_scope Other{Scope.Service, workspace_name("market")};
    CHECK(Ledger.begin(First, Other, "body", {}).Decision ==
          idempotency_decision::NotIssued);
    auto Changed = *request_identifier::parse(First.str());
    CHECK(Changed == First);
    Changed.Issuer.Incarnation = incarnation{8};
    CHECK(Begin(Changed).Decision == idempotency_decision::Unknown);
    Changed.Issuer.Name = vm_name("vm.2");
    CHECK(Begin(Changed).Decision == idempotency_decision::Foreign);
  }
}

TEST_CASE("an identifier that was not issued is not read") {
  for (const char *Text : {"", "vm", "vm.1.2", "vm.1.2.short", ".1.2.3",
                           "vm.x.2.00000000000000000000000000000000"})
    CHECK_FALSE(request_identifier::parse(Text).has_value());
  CHECK(rc::check("parse survives any text", [](const std::string &Text) {
    const auto Identifier = request_identifier::parse(Text);
    RC_ASSERT(!Identifier || !Identifier->Issuer.Name.empty());
  }));
}
