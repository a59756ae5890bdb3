#include "../stand_ins/stand_ins.h"

#include <csignal>

// A VM in a planned stop takes requests that come more than 3 s after SIGTERM,
// and breaks them off while their endpoint is at work. Callers can't obtain a
// new answer of the directory and keep the one that they have.

namespace {

using namespace review;

// From SIGTERM to SIGKILL, by the pages.
constexpr double GraceSeconds = 6;
// Requests sent up to this time after SIGTERM are excused if their endpoint is
// still at work in the last sixth of the grace period.
constexpr double ExcusedSeconds = 3;
// 'litter' of the site: aim 1 s, time limit 8 s, route's timeout 3 s, work of
// up to 4.32 s.
constexpr double TargetSeconds = 1;
constexpr double TimeoutSeconds = 3;
constexpr int DeadlineMs = 8'000;
constexpr milliseconds WorkTime{2'450};
constexpr milliseconds CallInterval{40};
constexpr milliseconds CallTime{4'500};
// Time in which a caller sees the VM's answer.
constexpr double TravelSeconds = 0.05;

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    giveUp("usage: late_in_grace FOLDER");
  test_bed Bed(Arguments[1]);
  auto &Record = Bed.Record;
  platform_store Store(Bed.nextIp() + ":8682");
  Store.put("op", "config",
            makeManifest(1, {{"litter", "/litter/", "safe", TimeoutSeconds,
                              TargetSeconds}}));
  struct run {
    double Start = 0;
    double End = 0; ///< of its work
  };
  std::mutex Mutex;
  std::map<std::string, run> Runs;
  const auto Serve = [&](byte_stream &Stream, const message &Request) {
    const auto Id = Request.header("X-Request-Id");
    const double Start = Record.seconds();
    {
      const std::lock_guard Lock(Mutex);
      Runs[Id] = {Start, 0};
    }
    Record.line("an endpoint runs " + Id);
    std::this_thread::sleep_for(WorkTime);
    {
      const std::lock_guard Lock(Mutex);
      Runs[Id].End = Record.seconds();
    }
    return Stream.send(makeAnswer(Request, 200, "stamp", "a page"));
  };
  endpoint One(Store,
               {"i-1", "litter", Bed.nextIp() + ":8080", "zone-a", "v1", 200},
               Serve);
  endpoint Other(Store,
                 {"i-2", "litter", Bed.nextIp() + ":8080", "zone-a", "v1", 200},
                 Serve);
  const auto Places = Bed.places(1);
  vm_process Vm(Bed.Temporary, Places[0], Places, Store.address());
  if (!Vm.waitUntilReady(milliseconds(15'000)))
    giveUp("the VM is not ready");
  std::this_thread::sleep_for(milliseconds(4'000));
  const std::string Query =
      "/resolve?name=shop.example&region=region-a&zone=zone-a";
  if (statusOf(Places[0].directory(), Query) != 200)
    giveUp("the directory does not name the VM");

  struct call {
    std::string Id;
    double SentAt = 0;
    double EndAt = 0;
    int Status = 0; ///< 0: no whole answer
  };
  std::vector<call> Calls;
  std::vector<std::thread> Threads;
  const auto Start = steady::now();
  const double StoppedAt = Record.seconds();
  if (Bed.HasTrouble) {
    Record.line("SIGTERM to the VM");
    Vm.signal(SIGTERM);
  }
  const auto Number = static_cast<std::size_t>(CallTime / CallInterval);
  Calls.resize(Number);
  Threads.reserve(Number);
  for (std::size_t Index = 0; Index < Number; ++Index) {
    std::this_thread::sleep_until(Start + CallInterval * Index);
    Threads.emplace_back([&, Index] {
      auto &Call = Calls[Index];
      Call.Id = "litter-" + std::to_string(Index);
      const auto Stream = byte_stream::connect(Places[0].callers());
      Call.SentAt = Record.seconds();
      message Answer;
      if (Stream &&
          Stream->send(makeRequest("GET", "/litter/" + std::to_string(Index),
                                   Call.Id, DeadlineMs)) &&
          Stream->read(Answer, milliseconds(DeadlineMs)) == read_end::Whole)
        Call.Status = Answer.status();
      Call.EndAt = Record.seconds();
    });
    // One in ten callers asks the directory again, and keeps what it has when
    // there is no new answer.
    if (Index % 10 == 9)
      Record.line("the directory answers " +
                  std::to_string(statusOf(Places[0].directory(), Query)));
  }
  for (auto &Thread : Threads)
    Thread.join();
  if (Bed.HasTrouble)
    Vm.hasEnded(milliseconds(2'000));
  std::this_thread::sleep_for(WorkTime); // the endpoints' last runs end
  int Broken = 0;
  std::map<int, int> Ends;
  const std::lock_guard Lock(Mutex);
  for (const auto &Call : Calls) {
    ++Ends[Call.Status];
    const auto Run = Runs.find(Call.Id);
    const double Sent = Call.SentAt - StoppedAt;
    Record.line(Call.Id + " sent " + std::to_string(Sent) + " s, ended " +
                std::to_string(Call.EndAt - StoppedAt) +
                " s after the start: " + std::to_string(Call.Status));
    if (Run == Runs.end() || Call.Status == 200)
      continue;
    const bool WasAtWork = Run->second.End > Call.EndAt + TravelSeconds;
    const bool IsInTime = Call.EndAt - Call.SentAt < TimeoutSeconds;
    const bool IsInGrace = Call.EndAt - StoppedAt < GraceSeconds + 1;
    if (Sent <= ExcusedSeconds || !WasAtWork || !IsInTime || !IsInGrace)
      continue;
    ++Broken;
    Record.line("  broken off, its endpoint was at work until " +
                std::to_string(Run->second.End - StoppedAt) + " s");
  }
  for (const auto &[Status, Times] : Ends)
    Record.line(std::to_string(Times) + " requests end with " +
                std::to_string(Status));
  Record.line("LOST: " + std::to_string(Broken) +
              " requests sent later than 3 s after SIGTERM were broken off");
  return Broken > 0 ? 1 : 0;
}
