#include "../stand_ins/stand_ins.h"

#include <deque>

// An endpoint that has said that it drains gets requests again, because a
// heartbeat of before, whose answer was lost, is carried out late.

namespace {

using namespace review;

// Bounds of the pages.
constexpr milliseconds Drain{2'000};
constexpr milliseconds TouchTime{3'000};
// The heartbeat is lost longer than touchS before the drain, and carried out
// within 6 s of its loss.
constexpr milliseconds LostBefore{3'200};
constexpr milliseconds LateBy{4'400};
constexpr milliseconds AfterHeartbeat{50};
// After the drain, the endpoint serves for drainS and a little longer.
constexpr milliseconds ExitAfter{4'000};
constexpr milliseconds WorkTime{300};
constexpr int Callers = 4;
constexpr int DeadlineMs = 3'000;

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    giveUp("usage: late_heartbeat FOLDER");
  test_bed Bed(Arguments[1]);
  auto &Record = Bed.Record;
  platform_store Store(Bed.nextIp() + ":8682");
  Store.put("op", "config",
            makeManifest(1, {{"orders", "/orders/", "unsafe", 3, 0.6}}));
  struct arrival {
    double At;
    std::string Id;
    bool IsAnswered;
  };
  std::mutex Mutex;
  std::deque<arrival> Arrivals; // at the endpoint that leaves
  const auto Serve = [&](bool IsLeaving) {
    return [&, IsLeaving](byte_stream &Stream, const message &Request) {
      const auto Id = Request.header("X-Request-Id");
      arrival *Arrival = nullptr;
      if (IsLeaving) {
        const std::lock_guard Lock(Mutex);
        Arrivals.push_back({Record.seconds(), Id, false});
        Arrival = &Arrivals.back();
      }
      Record.line((IsLeaving ? "i-1 runs " : "i-2 runs ") + Id);
      std::this_thread::sleep_for(WorkTime);
      const bool IsSent =
          Stream.send(makeAnswer(Request, 200, "stamp", "done"));
      if (Arrival != nullptr)
        Arrival->IsAnswered = IsSent;
      return IsSent;
    };
  };
  auto Leaving = std::make_unique<endpoint>(
      Store, endpoint_entry{"i-1", "orders", Bed.nextIp() + ":8080", "zone-a"},
      Serve(true));
  endpoint Staying(Store, {"i-2", "orders", Bed.nextIp() + ":8080", "zone-b"},
                   Serve(false));
  const auto Places = Bed.places(3);
  std::vector<std::unique_ptr<vm_process>> Vms;
  Vms.reserve(Places.size());
  for (const auto &Place : Places)
    Vms.push_back(std::make_unique<vm_process>(Bed.Temporary, Place, Places,
                                               Store.address()));
  for (const auto &Vm : Vms)
    if (!Vm->waitUntilReady(milliseconds(15'000)))
      giveUp("the VMs are not ready");
  std::this_thread::sleep_for(milliseconds(4'000));

  std::atomic<bool> IsOver{false};
  std::atomic<int> Answered{0};
  std::atomic<int> Unknown{0};
  std::vector<std::thread> Threads;
  Threads.reserve(Callers);
  for (int Index = 0; Index < Callers; ++Index)
    Threads.emplace_back([&, Index] {
      const auto &Place = Places[static_cast<std::size_t>(Index) % 3];
      std::unique_ptr<byte_stream> Stream;
      for (int Number = 0; !IsOver; ++Number) {
        const auto Id = std::to_string(Index) + "-" + std::to_string(Number);
        if (!Stream)
          Stream = byte_stream::connect(Place.callers());
        message Answer;
        if (!Stream ||
            !Stream->send(makeRequest("POST", "/orders/" + Id, Id, DeadlineMs,
                                      "an order")) ||
            Stream->read(Answer, milliseconds(DeadlineMs)) != read_end::Whole) {
          Stream.reset();
          continue;
        }
        ++(Answer.status() == 200 ? Answered : Unknown);
        Record.line("caller sent " + Id + " and got " +
                    std::to_string(Answer.status()));
        if (Answer.header("Connection") == "close")
          Stream.reset();
      }
    });
  std::this_thread::sleep_for(milliseconds(2'000));

  // The endpoint goes on with later heartbeats, as it got no answer.
  const auto LostRow = Leaving->entry().row("ready", Leaving->sequence() + 1);
  const auto LostAt = steady::now();
  if (Bed.HasTrouble)
    Record.line("a heartbeat of i-1 is lost: " + LostRow);
  std::this_thread::sleep_until(LostAt + LostBefore);
  Leaving->setState("draining");
  const double DrainedAt = Record.seconds();
  const auto DrainedTime = steady::now();
  Record.line("i-1 is draining, the store has confirmed it");
  std::this_thread::sleep_until(LostAt + LateBy);
  // Just after a heartbeat, so that the next one comes 1.5 s later.
  const auto Latest = Leaving->sequence();
  while (Leaving->sequence() == Latest)
    std::this_thread::sleep_for(milliseconds(5));
  std::this_thread::sleep_for(AfterHeartbeat);
  if (Bed.HasTrouble) {
    Store.put("servers", "i-1", LostRow);
    Record.line("the lost heartbeat is carried out");
  }
  std::this_thread::sleep_until(DrainedTime + ExitAfter);
  Record.line("i-1 exits");
  Leaving.reset();
  Store.put("servers", "i-1", std::nullopt);
  std::this_thread::sleep_for(milliseconds(1'500));
  IsOver = true;
  for (auto &Thread : Threads)
    Thread.join();

  int Late = 0;
  int Cut = 0;
  const double DrainSeconds = std::chrono::duration<double>(Drain).count();
  for (const auto &Arrival : Arrivals) {
    if (Arrival.At <= DrainedAt + DrainSeconds)
      continue;
    ++Late;
    Cut += Arrival.IsAnswered ? 0 : 1;
    Record.line("request " + Arrival.Id + " reached i-1 " +
                std::to_string(Arrival.At - DrainedAt) +
                " s after the confirmation, answered: " +
                std::to_string(Arrival.IsAnswered));
  }
  Record.line("DRAIN: " + std::to_string(Late) +
              " requests reached the endpoint too late, " +
              std::to_string(Cut) + " of them were cut; " +
              std::to_string(Answered) + " answers, " +
              std::to_string(Unknown) + " other ends");
  return Late > 0 ? 1 : 0;
}
