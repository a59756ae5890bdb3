// Four VMs. After an outage of the store some of them read it and the others
// get their rows from one of these. Some time later the machines that read lose
// power, and an endpoint leaves: its entry is removed. The other VMs must send
// it nothing 2 s after the store's word.
#include "../stand_ins_2/bed.h"

#include <algorithm>
#include <csignal>
#include <thread>

using namespace review;

namespace {

constexpr const char *Host = "tienda.example";
constexpr milliseconds Outage{4'500};
// Longer than touchS, for which the store counts as unstable afterwards.
constexpr milliseconds Calm{8'000};
constexpr milliseconds Dark{2'000};
// From the loss of power to the endpoint's leaving.
constexpr milliseconds Notice{100};
constexpr milliseconds Watched{5'000};
// One of eight endpoints leaves.
constexpr int StayingEndpoints = 7;
constexpr int MaxOutages = 3;
// Of four VMs: less than the share of machines that herd_kill takes.
constexpr std::size_t MaxLost = 2;
constexpr milliseconds DrainBound{2'000};
constexpr milliseconds Pace{5};
constexpr milliseconds Work{20};
constexpr int DeadlineMs = 2'000;

std::size_t countOf(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (auto At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

/** @returns true when the VM counts the table of endpoints as lost. */
bool hasLostTable(const vm &Vm) {
  const auto Log = Vm.log();
  return countOf(Log, " lost table=servers") >
         countOf(Log, "regained table=servers");
}

/** Sends lookups to @p Vm until @p Until. */
void sendUntil(const vm &Vm, milliseconds Until) {
  for (int Number = 0; now() < Until; ++Number) {
    const auto Consumer = connection::open(Vm.ip(), Vm.callerPort());
    const auto Id = Vm.name() + "-" + std::to_string(Number);
    if (Consumer)
      ask(*Consumer, makeRequest("GET", "/tienda/" + Id, Host, Id, DeadlineMs),
          milliseconds(DeadlineMs));
    pause(Pace);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Options = readOptions(Count, Arguments);
  store Store;
  run_log Runs;
  const auto Script = [](const message &) {
    reaction Reaction;
    Reaction.After = Work;
    return Reaction;
  };
  std::vector<std::unique_ptr<endpoint>> Staying;
  for (int Number = 1; Number <= StayingEndpoints; ++Number)
    Staying.push_back(std::make_unique<endpoint>(
        "i-staying-" + std::to_string(Number), "catalogo",
        Number % 2 == 0 ? "lima-a" : "arequipa-a", Runs, Script));
  endpoint Leaving("i-leaving", "catalogo", "arequipa-a", Runs, Script);
  Store.put("op", "config",
            makeManifest(1, {"catalogo"}, Host,
                         {makeRoute("todo", "/tienda/", "safe", "catalogo", 1)})
                .dump());
  for (const auto &Each : Staying)
    Each->keepBeating(Store);
  Leaving.keepBeating(Store);

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
  int Late = 0;
  {
    std::vector<std::unique_ptr<vm>> Vms;
    Vms.push_back(std::make_unique<vm>(Fleet, "front-lima-a-1", Fleet.Seeds[0],
                                       "lima-a"));
    Vms.push_back(std::make_unique<vm>(Fleet, "front-arequipa-a-1",
                                       Fleet.Seeds[1], "arequipa-a"));
    Vms.push_back(std::make_unique<vm>(Fleet, "front-trujillo-a-1",
                                       Fleet.Seeds[2], "trujillo-a"));
    Vms.push_back(
        std::make_unique<vm>(Fleet, "front-lima-b-1", "127.0.0.5", "lima-b"));
    for (const auto &Vm : Vms)
      Vm->start();
    for (const auto &Vm : Vms)
      if (!Vm->awaitReady(milliseconds(10'000)))
        finish(2);
    pause(milliseconds(4'000));
    std::vector<vm *> Readers;
    std::vector<vm *> Others;
    for (int Try = 1; Try <= MaxOutages && Others.empty(); ++Try) {
      if (Options.IsTrouble) {
        note("the store is silent");
        Store.setSilent(true);
      }
      pause(Outage);
      if (Options.IsTrouble) {
        Store.setSilent(false);
        note("the store is back");
      }
      pause(Calm);
      Readers.clear();
      for (const auto &Vm : Vms)
        if (!hasLostTable(*Vm))
          Readers.push_back(Vm.get());
      // Without an outage the logs do not tell who reads.
      if (!Options.IsTrouble)
        Readers.erase(Readers.begin(), Readers.end() - MaxLost);
      const bool IsFit = !Readers.empty() && Readers.size() <= MaxLost;
      for (const auto &Vm : Vms)
        if (IsFit && std::find(Readers.begin(), Readers.end(), Vm.get()) ==
                         Readers.end())
          Others.push_back(Vm.get());
    }
    if (Others.empty())
      finish(2);
    const auto End = now() + Watched + milliseconds(1'000);
    std::vector<std::thread> Consumers;
    Consumers.reserve(Others.size());
    for (const auto *Vm : Others)
      Consumers.emplace_back([Vm, End] { sendUntil(*Vm, End); });
    pause(milliseconds(1'000));
    for (auto *Vm : Readers) {
      note(Vm->name() + " loses power");
      Vm->signal(SIGSTOP);
    }
    pause(Notice);
    Leaving.leave(Store);
    const auto LeftAt = now();
    note("the store confirms that i-leaving is gone");
    pause(Dark - Notice);
    for (auto *Vm : Readers) {
      Vm->signal(SIGKILL);
      Vm->start();
    }
    for (auto &Consumer : Consumers)
      Consumer.join();
    for (const auto *Vm : Others)
      for (int Number = 0; Number < 1'000; ++Number)
        for (const auto &Run :
             Runs.of(Vm->name() + "-" + std::to_string(Number)))
          if (Run.Endpoint == Leaving.id() && Run.At > LeftAt + DrainBound) {
            ++Late;
            note("DRAIN: " + Run.Id + " reached i-leaving " +
                 std::to_string((Run.At - LeftAt).count()) +
                 " ms after it was gone");
          }
  }
  note("requests that came later than drainS: " + std::to_string(Late));
  finish(Late > 0 ? 1 : 0);
}
