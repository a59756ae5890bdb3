// Four VMs. Three are stopped as planned and do not come back. The process of
// the one that is left is killed and starts again. From recoveryS after that,
// it must serve a quarter of the requests at least.
#include "../stand_ins_2/bed.h"

#include <csignal>

using namespace review;

namespace {

constexpr const char *Host = "tienda.example";
constexpr const char *Key = "s989anu6wsjnbanfqasn";
constexpr milliseconds RecoveryBound{15'000};
constexpr milliseconds Measured{5'000};
// A tenth of the tenant's limit.
constexpr milliseconds Pace{100};
constexpr int RatePerSecond = 99;
constexpr int DeadlineMs = 2'000;
constexpr milliseconds StopTime{7'000};
constexpr milliseconds StopGap{1'300};

struct tally {
  int Sent = 0;
  int Served = 0;
  int Refused = 0;
};

/** Sends requests for a while. */
tally measure(const vm &Vm, const std::string &Name) {
  tally Tally;
  const auto End = now() + Measured;
  for (; now() < End; pause(Pace)) {
    const auto Consumer = connection::open(Vm.ip(), Vm.callerPort());
    ++Tally.Sent;
    if (!Consumer)
      continue;
    auto Request = makeRequest("GET", "/tienda/1", Host,
                               Name + std::to_string(Tally.Sent), DeadlineMs);
    Request.insert(Request.size() - 2,
                   std::string("X-Api-Key: ") + Key + "\r\n");
    const auto Outcome = ask(*Consumer, Request, milliseconds(DeadlineMs));
    Tally.Served += Outcome.Status == 200 ? 1 : 0;
    Tally.Refused += Outcome.Status == 429 ? 1 : 0;
  }
  note(Name + ": sent " + std::to_string(Tally.Sent) + ", served " +
       std::to_string(Tally.Served) + ", answered 429 " +
       std::to_string(Tally.Refused));
  return Tally;
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Options = readOptions(Count, Arguments);
  store Store;
  run_log Runs;
  endpoint Endpoint("i-catalogo", "catalogo", "lima-a", Runs,
                    [](const message &) { return reaction(); });
  auto Manifest =
      makeManifest(1, {"catalogo"}, Host,
                   {makeRoute("todo", "/tienda/", "safe", "catalogo", 1)});
  Manifest["tenants"] = {{{"name", "cuka620"},
                          {"apiKeys", {Key}},
                          {"priority", 1},
                          {"ratePerS", RatePerSecond},
                          {"burst", RatePerSecond},
                          {"homeRegions", json::array()}}};
  Store.put("op", "config", Manifest.dump());
  Endpoint.keepBeating(Store);

  fleet Fleet;
  Fleet.Folder = Options.Folder;
  Fleet.Program = Options.Program;
  Fleet.Store = Store.address();
  Fleet.Seeds = {"127.0.0.2", "127.0.0.3", "127.0.0.4"};
  Fleet.Port = findPorts({"127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5"});
  Fleet.Domains = {{"lima-a", "lima"},
                   {"arequipa-a", "arequipa"},
                   {"trujillo-a", "trujillo"},
                   {"lima-b", "lima"}};
  tally Before;
  tally After;
  {
    vm Left(Fleet, "front-lima-a-1", "127.0.0.2", "lima-a");
    vm Arequipa(Fleet, "front-arequipa-a-1", "127.0.0.3", "arequipa-a");
    vm Trujillo(Fleet, "front-trujillo-a-1", "127.0.0.4", "trujillo-a");
    vm Lima(Fleet, "front-lima-b-1", "127.0.0.5", "lima-b");
    for (auto *Vm : {&Left, &Arequipa, &Trujillo, &Lima})
      Vm->start();
    for (auto *Vm : {&Left, &Arequipa, &Trujillo, &Lima})
      if (!Vm->awaitReady(milliseconds(10'000)))
        finish(2);
    pause(milliseconds(3'000));
    if (Options.IsTrouble) {
      for (auto *Vm : {&Arequipa, &Trujillo, &Lima}) {
        Vm->signal(SIGTERM);
        pause(StopGap);
      }
      pause(StopTime);
      for (auto *Vm : {&Arequipa, &Trujillo, &Lima})
        if (Vm->isRunning())
          finish(2);
    }
    Before = measure(Left, "before-");
    Left.signal(SIGKILL);
    Left.start();
    if (!Left.awaitReady(milliseconds(10'000)))
      finish(2);
    note("the process is back and says it is ready");
    pause(RecoveryBound);
    After = measure(Left, "after-");
  }
  if (4 * Before.Served < Before.Sent)
    finish(2);
  finish(4 * After.Served < After.Sent ? 1 : 0);
}
