// A request that crashes its endpoint is refused by all machines after two
// crashes. Then all processes are killed at the same moment and started again,
// three times, and the request comes again. The program counts the retries that
// reach an endpoint.
#include "../stand_ins_3/rig.h"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace {

constexpr double TouchSeconds = 3;     // touchS
constexpr int MaxLateRetries = 3;      // of the rule
constexpr double DownSeconds = 2;      // of a crashed endpoint
constexpr double PauseSeconds = 5;     // between two retries of the request
constexpr double InTouchSeconds = 4;   // after a start, more than touchS
constexpr double RemovalSeconds = 2.5; // until the row of a crashed one goes
constexpr int Kills = 3;
constexpr const char *BadBody = "print run with a negative length";

/** A retry of the bad request that an endpoint began to run. */
struct crash {
  std::string RequestId;
  double SentAt = 0;
  double At = 0;
};

class scenario {
public:
  explicit scenario(rig::recorder &Record)
      : Record(Record), Fleet(rig::smallManifest()) {}

  bool start();
  void play();
  bool isRuleBroken();
  void stop();

private:
  rig::endpoint::action behave(std::size_t Index,
                               const rig::http_message &Request);
  void crashAndReturn(std::size_t Index);
  void sendBad(std::size_t Vm);
  void killAll();
  std::string newId();
  void sendOrders();

  rig::recorder &Record;
  rig::fleet Fleet;
  std::vector<std::unique_ptr<rig::endpoint>> Endpoints;
  std::mutex Mutex;
  std::vector<crash> Crashes;
  std::map<std::string, double> SentAt;
  std::vector<std::thread> Returns;
  std::thread Orders;
  std::atomic<bool> IsOver{false};
  int Count = 0;
  std::atomic<int> Lifetimes{0};
};

bool scenario::start() {
  const std::vector<std::string> Places = {"lima-a", "arequipa-a",
                                           "trujillo-a"};
  for (std::size_t Index = 0; Index < Places.size(); ++Index) {
    Endpoints.push_back(std::make_unique<rig::endpoint>(
        Fleet.Store,
        rig::endpoint::terms{"pedidos", Places[Index],
                             Fleet.ip(200 + static_cast<int>(Index)), 3, 3.0},
        [this, Index](const auto &Request) { return behave(Index, Request); }));
    if (!Endpoints.back()->start(newId(), false))
      return false;
  }
  return Fleet.start();
}

std::string scenario::newId() {
  return "i-" + std::to_string(0x48aa0 + ++Lifetimes);
}

rig::endpoint::action scenario::behave(std::size_t Index,
                                       const rig::http_message &Request) {
  if (Request.Body != BadBody)
    return {};
  const auto Id = Request.field("X-Request-Id");
  {
    const std::lock_guard Lock(Mutex);
    Crashes.push_back({Id, SentAt[Id], rig::now()});
    Returns.emplace_back([this, Index] { crashAndReturn(Index); });
  }
  Record.line("endpoint " + Endpoints[Index]->id() + " runs " + Id +
              " and crashes");
  // Until the process has ended.
  rig::sleepFor(0.1);
  return {0, 0, true, ""};
}

void scenario::crashAndReturn(std::size_t Index) {
  auto &Endpoint = *Endpoints[Index];
  const std::string Former = Endpoint.id();
  Endpoint.crash();
  rig::sleepFor(DownSeconds);
  if (IsOver)
    return;
  const bool IsBack = Endpoint.start(newId(), true);
  Record.line("endpoint " + Former + " is back as " +
              (IsBack ? Endpoint.id() : "none, it can't start"));
  // After three intervals without a sign of life.
  rig::sleepFor(RemovalSeconds);
  Fleet.Store.remove("servers", Former);
}

void scenario::sendBad(std::size_t Vm) {
  const std::string Id = "bad-" + std::to_string(++Count);
  {
    const std::lock_guard Lock(Mutex);
    SentAt[Id] = rig::now();
  }
  Record.line("consumer sends " + Id + " to " + Fleet.Vms[Vm]->name());
  const auto Got =
      rig::request(Fleet.Vms[Vm]->ip(), rig::vm::CallerPort, "POST", "/order/7",
                   {{"Host", "jepu9.example"},
                    {"X-Request-Id", Id},
                    {"X-Deadline-Ms", "4000"},
                    {"X-Api-Key", "key-hotel"}},
                   BadBody, 4);
  Record.line("consumer got " + std::to_string(Got.Status) + " for " + Id +
              " " + Got.Body.substr(0, Got.Body.find('\n')));
}

void scenario::killAll() {
  if (!rig::isTroubleWanted()) {
    rig::sleepFor(1 + InTouchSeconds);
    return;
  }
  Record.line("SIGKILL to all machines");
  for (const auto &Vm : Fleet.Vms)
    Vm->signal(SIGKILL);
  for (const auto &Vm : Fleet.Vms)
    Vm->waitForEnd(1);
  rig::sleepFor(1);
  for (const auto &Vm : Fleet.Vms)
    Vm->start();
  const bool AreReady =
      std::all_of(Fleet.Vms.begin(), Fleet.Vms.end(),
                  [](const auto &Vm) { return Vm->waitUntilReady(10); });
  Record.line(AreReady ? "all machines are ready" : "a machine isn't ready");
  rig::sleepFor(InTouchSeconds);
}

// Ordinary orders.
void scenario::sendOrders() {
  int Sent = 0;
  int Served = 0;
  while (!IsOver) {
    const auto &Machine =
        *Fleet.Vms[static_cast<std::size_t>(Sent) % Fleet.Vms.size()];
    const std::string Id = "order-" + std::to_string(++Sent);
    const auto Got =
        rig::request(Machine.ip(), rig::vm::CallerPort, "POST", "/order/8",
                     {{"Host", "jepu9.example"},
                      {"X-Request-Id", Id},
                      {"X-Deadline-Ms", "4000"},
                      {"X-Api-Key", "key-hotel"}},
                     "order " + Id, 4);
    Served += Got.Status == 200 ? 1 : 0;
    rig::sleepFor(0.2);
  }
  Record.line("orders sent " + std::to_string(Sent) + ", served " +
              std::to_string(Served));
}

void scenario::play() {
  rig::sleepFor(InTouchSeconds);
  Orders = std::thread([this] { sendOrders(); });
  for (int Round = 0; Round <= Kills; ++Round) {
    if (Round > 0)
      killAll();
    // The first two crash an endpoint each; the third is refused.
    for (std::size_t Try = 0; Try < 3; ++Try) {
      sendBad((static_cast<std::size_t>(Round) + 2 * Try) % Fleet.Vms.size());
      rig::sleepFor(PauseSeconds);
    }
  }
}

bool scenario::isRuleBroken() {
  const std::lock_guard Lock(Mutex);
  Record.line("crashes: " + std::to_string(Crashes.size()));
  if (Crashes.size() < 3)
    return false;
  const double Third = Crashes[2].At;
  const auto Late =
      std::count_if(Crashes.begin(), Crashes.end(), [&](const crash &Crash) {
        return Crash.SentAt > Third + TouchSeconds;
      });
  Record.line("retries that reached an endpoint, sent more than 3 s after the "
              "third crash: " +
              std::to_string(Late) + " (at most 3)");
  return Late > MaxLateRetries;
}

void scenario::stop() {
  IsOver = true;
  if (Orders.joinable())
    Orders.join();
  for (auto &Return : Returns)
    Return.join();
  Fleet.Vms.clear();
  Endpoints.clear();
}

} // namespace

int main() {
  rig::recorder Record("record.txt");
  Record.line(
      std::string("trouble: ") +
      (rig::isTroubleWanted() ? "all processes killed three times" : "none"));
  int Result = 2;
  {
    scenario Scenario(Record);
    if (Scenario.start()) {
      Scenario.play();
      Result = Scenario.isRuleBroken() ? 1 : 0;
    } else {
      Record.line("the machines did not start");
    }
    Scenario.stop();
  }
  std::cout << (Result == 1   ? "BUDGET is broken\n"
                : Result == 0 ? "the rule held\n"
                              : "could not run\n")
            << std::flush;
  std::quick_exit(Result);
}
