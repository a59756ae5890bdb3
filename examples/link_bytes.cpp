/// Limits the bytes per second that three processes together send over a link.
///
/// Everything runs in one program without sockets: messages are delivered by
/// function calls and the ledger is a variable. This shows what an embedding
/// program has to supply: a clock, message delivery, and a stored row that is
/// written with compare-and-set.

#include "sesamepaddle/rate_limiting/rate_limiting.h"

#include <cstdio>
#include <map>
#include <set>
#include <vector>

using namespace sesamepaddle;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr limit_shape LinkLimit{1'000'000, 200'000}; // bytes/s, burst in bytes
constexpr double ChunkBytes = 1'500;
constexpr milliseconds Step{10}; // advance of the simulated clock
constexpr seconds Length{20};    // simulated duration of the run

const limit_name Link{"link/lima-arequipa"};

/** The three processes, their ledger and the delivery of their messages. */
class example_fleet {
public:
  example_fleet() {
    Ledger.Free = WholeParts;
    for (const char *Name : {"vm-a", "vm-b", "vm-c"})
      Names.emplace_back(Name);
    std::uint64_t Process = 0;
    for (const auto &Name : Names) {
      const vm_identity Identity{Name, incarnation{++Process}};
      Identities.emplace(Name, Identity);
      Holders.emplace(Name, share_holder(Identity, Now));
      Holders.at(Name).setLimit(Link, LinkLimit, Now);
      Holders.at(Name).setPeers(Names, Now);
    }
  }

  /** Advances the clock by one step and sends heartbeats that are due. */
  void advance() {
    Now += Step;
    for (auto &[Name, Holder] : Holders) {
      if (Holder.nextHeartbeat() <= Now) {
        Holder.heartbeat(Now);
        updateLedger(Holder);
      }
      deliver(Name);
    }
  }

  /** Sends chunks until the limit refuses one. Then asks the limit's home, the
      VM that hands out its tokens, for tokens for the next call.
      @returns the bytes sent. */
  double sendAll(const vm_name &Name) {
    share_holder &Holder = Holders.at(Name);
    double Sent = 0;
    while (Holder.tryTake(Link, ChunkBytes, Now) == take_result::Taken)
      Sent += ChunkBytes;
    Holder.askHome(Link, 4 * ChunkBytes, ChunkBytes, Now);
    deliver(Name);
    return Sent;
  }

  const std::vector<vm_name> &names() const { return Names; }

private:
  // Writes the holder's proposal; with one thread, no write can conflict.
  void updateLedger(share_holder &Holder) {
    Holder.applyLedger(Ledger, Revision, Now);
    const std::set<vm_name> Listed(Names.begin(), Names.end());
    const auto Wanted = Holder.proposeLedger(Ledger, Listed, Now);
    if (!Wanted)
      return;
    Ledger = *Wanted;
    ++Revision;
    Holder.applyLedger(Ledger, Revision, Now);
  }

  // Delivers all messages of a process, and the replies, before it returns.
  void deliver(const vm_name &From) {
    for (const auto &Out : Holders.at(From).takeOutbox()) {
      Holders.at(Out.To).receive(Identities.at(From), Out.Message, Now);
      deliver(Out.To);
    }
  }

  time_point Now{};
  domain_ledger Ledger;
  std::uint64_t Revision = 1;
  std::vector<vm_name> Names;
  std::map<vm_name, vm_identity> Identities;
  std::map<vm_name, share_holder> Holders;
};

} // namespace

int main() {
  example_fleet Fleet;
  std::map<vm_name, double> Sent;
  double Total = 0;
  for (duration Elapsed{0}; Elapsed < Length; Elapsed += Step) {
    Fleet.advance();
    for (const auto &Name : Fleet.names()) {
      const double Bytes = Fleet.sendAll(Name);
      Sent[Name] += Bytes;
      Total += Bytes;
    }
  }
  const double Bound =
      LinkLimit.Burst +
      LinkLimit.RatePerSecond * std::chrono::duration<double>(Length).count();
  for (const auto &[Name, Bytes] : Sent)
    std::printf("%s sent %.0f bytes\n", Name.str().c_str(), Bytes);
  std::printf("together %.0f bytes, bound %.0f bytes\n", Total, Bound);
  return Total <= Bound ? 0 : 1;
}
