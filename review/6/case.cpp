// A route for orders, which may run once, is added below a route whose requests
// may be repeated. Consumers place orders as soon as the store has confirmed
// the manifest. The answers to their first runs are lost.
#include "../stand_ins_2/bed.h"

#include <sstream>

using namespace review;

namespace {

constexpr const char *Host = "tienda.example";
constexpr int Rounds = 5;
// The store's 4 ms and a round trip between regions, 12 ms each way.
constexpr int StoreAnswerMs = 28;
constexpr milliseconds Work{400};
constexpr int DeadlineMs = 4'000;
// Beside each order, so that a third of the first endpoint's answers is lost.
constexpr int LookupsPerRound = 2;

/** @param HasOrders  the route for orders is there */
json manifestOf(int Version, bool HasOrders) {
  std::vector<json> Routes = {
      makeRoute("todo", "/tienda/", "safe", "catalogo", 3)};
  if (HasOrders)
    Routes.push_back(
        makeRoute("pedido", "/tienda/pedidos/", "unsafe", "pedidos", 3));
  return makeManifest(Version, {"catalogo", "pedidos"}, Host, Routes);
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Options = readOptions(Count, Arguments);
  store Store;
  Store.AnswerMs = StoreAnswerMs;
  run_log Runs;
  const auto FirstRun = [&](const message &Request) {
    reaction Reaction;
    Reaction.After = Work;
    Reaction.IsLost =
        Options.IsTrouble && Request.target().rfind("/tienda/pedidos/", 0) == 0;
    return Reaction;
  };
  const auto OtherRun = [](const message &) {
    reaction Reaction;
    Reaction.After = Work;
    return Reaction;
  };
  endpoint Catalogo("i-catalogo", "catalogo", "lima-a", Runs, FirstRun);
  endpoint Pedidos("i-pedidos", "pedidos", "lima-a", Runs, OtherRun);
  Store.put("op", "config", manifestOf(1, false).dump());
  Catalogo.keepBeating(Store);
  Pedidos.keepBeating(Store);

  fleet Fleet;
  Fleet.Folder = Options.Folder;
  Fleet.Program = Options.Program;
  Fleet.Store = Store.address();
  Fleet.Port = findPorts({"127.0.0.2", "127.0.0.3"});
  Fleet.Seeds = {"127.0.0.2", "127.0.0.3"};
  Fleet.Domains = {{"lima-a", "lima"}, {"arequipa-a", "arequipa"}};
  int Broken = 0;
  {
    vm Lima(Fleet, "front-lima-a-1", "127.0.0.2", "lima-a");
    vm Arequipa(Fleet, "front-arequipa-a-1", "127.0.0.3", "arequipa-a");
    Lima.start();
    Arequipa.start();
    if (!Lima.awaitReady(milliseconds(10'000)) ||
        !Arequipa.awaitReady(milliseconds(10'000)))
      finish(2);
    // Retries are allowed from when the VMs surely know each other.
    pause(milliseconds(13'000));
    int Version = 1;
    for (int Round = 1; Round <= Rounds; ++Round) {
      const auto Consumer = connection::open(Lima.ip(), Lima.callerPort());
      if (!Consumer)
        finish(2);
      const auto Id = "order-" + std::to_string(Round);
      for (int Number = 1; Number <= LookupsPerRound; ++Number) {
        const auto LookupId =
            "lookup-" + std::to_string(Round) + "-" + std::to_string(Number);
        const auto Lookup = ask(*Consumer,
                                makeRequest("GET", "/tienda/precio/" + LookupId,
                                            Host, LookupId, DeadlineMs),
                                milliseconds(DeadlineMs + 1'000));
        note("consumer gets " + std::to_string(Lookup.Status) + " for " +
             LookupId);
        if (Lookup.Status != 200)
          finish(2);
      }
      Version += 3;
      Store.put("op", "config", manifestOf(Version, true).dump());
      note("the store confirms manifest " + std::to_string(Version) +
           ": /tienda/pedidos/ is unsafe, of pedidos");
      note("consumer sends POST /tienda/pedidos/" + std::to_string(Round) +
           " as " + Id);
      const auto Outcome =
          ask(*Consumer,
              makeRequest("POST", "/tienda/pedidos/" + std::to_string(Round),
                          Host, Id, DeadlineMs, "one order"),
              milliseconds(DeadlineMs + 1'000));
      note("consumer gets " + std::to_string(Outcome.Status) + " after " +
           std::to_string(Outcome.Took.count()) + " ms");
      const auto Found = Runs.of(Id);
      if (Found.empty()) {
        note("the order did not run");
      } else if (Found.size() > 1) {
        ++Broken;
        note("TWICE: " + Id + " ran " + std::to_string(Found.size()) +
             " times, the last time " +
             std::to_string((Found.back().At - Found.front().At).count()) +
             " ms after the first");
      }
      Version += 2;
      Store.put("op", "config", manifestOf(Version, false).dump());
      pause(milliseconds(1'500));
    }
    std::istringstream Log(Lima.log());
    for (std::string Line; std::getline(Log, Line);)
      if (Line.find("configuration version=") != std::string::npos ||
          Line.find("request id=order") != std::string::npos)
        note("log of the VM: " + Line);
  }
  note("rounds with an order that ran more than once: " +
       std::to_string(Broken) + " of " + std::to_string(Rounds));
  finish(Broken > 0 ? 1 : 0);
}
