#include "entry/move_controller.h"

#include "entry/move_message.h"
#include "sesamepaddle/core/text.h"

#include "absl/strings/str_cat.h"

#include <random>
#include <utility>

namespace sesamepaddle {

struct running_move {
  running_move(const service_snapshot &Service, const move_plan &Plan,
               std::span<const route_name> Routes)
      : Service(Service.Document.Service), Number(Service.Number),
        From(Service.Document.Move->From), To(Service.Document.Move->To),
        Move(Plan, Routes), Share(Move.share()) {}

  std::string rowKey() const {
    return absl::StrCat("moves/", Service.str(), "/", Number);
  }

  const service_name Service;
  const document_number Number;
  const version_name From;
  const version_name To;
  mutable std::mutex Mutex; // guards Move
  version_move Move;
  std::atomic<double> Share; // copy of Move.share(), read without the mutex
  bool IsWriting = false;    // used only on the peer network's io_context
};

namespace {

using namespace std::chrono_literals;

// Interval between calls of tick() for each move.
constexpr std::chrono::milliseconds TickInterval{100};
// Pause after a write, whether it succeeded or not, before the next attempt.
constexpr std::chrono::milliseconds WriteRetryInterval{1'000};

// Converts the document's wall-clock finishing time to boot_clock.
move_plan makePlan(const service_snapshot &Service) {
  const auto &Move = *Service.Document.Move;
  const auto WallNow = std::chrono::system_clock::now();
  const auto FinishBy = std::chrono::system_clock::from_time_t(
      static_cast<std::time_t>(Move.FinishBySeconds));
  const auto Left = std::chrono::duration_cast<duration>(FinishBy - WallNow);
  return {Move.Cap, Service.AppliedAt, boot_clock::now() + Left};
}

std::vector<route_name> routesOf(const service_document &Document) {
  std::vector<route_name> Routes;
  for (const auto &Route : Document.Routes)
    Routes.push_back(Route.Name);
  return Routes;
}

/** @returns a random number from 0 up to 1. */
double drawUniform() {
  thread_local std::minstd_rand Random(std::random_device{}());
  return std::uniform_real_distribution<>()(Random);
}

} // namespace

move_controller::move_controller(asio::io_context &Context,
                                 peer_network &Network,
                                 platform_client Platform,
                                 const service_directory &Services,
                                 const vm_directory &Vms)
    : Context(Context), Network(Network), Platform(std::move(Platform)),
      Services(Services), Vms(Vms), Moves(std::make_shared<move_map>()) {
  Network.receive(peer_message_kind::Moves,
                  [this](const peer_sender &Sender, std::string_view Payload) {
                    receive(Sender, Payload);
                  });
}

awaitable<void> move_controller::run(const std::atomic<bool> &Stop) {
  while (!Stop.load()) {
    followDocuments();
    for (const auto &[Name, Move] : *Moves.snapshot())
      tick(*Move, boot_clock::now());
    asio::steady_timer Timer(co_await asio::this_coro::executor, TickInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

chosen_version move_controller::choose(const service_snapshot &Service) const {
  const auto &Document = Service.Document;
  if (!Document.Move)
    return {Document.ActiveVersion, false, 0, nullptr};
  auto Move = Moves.read([&](const move_map &Map) {
    const auto Found = Map.find(Document.Service);
    return Found == Map.end() ? nullptr : Found->second;
  });
  if (!Move || Move->Number != Service.Number)
    return {Document.ActiveVersion, false, 0, nullptr};
  const double Share = Move->Share.load();
  const bool IsNew = drawUniform() < Share;
  return {IsNew ? Move->To : Move->From, IsNew, Share, std::move(Move)};
}

void move_controller::report(const chosen_version &Chosen,
                             const route_name &Route, version_sample Sample,
                             time_point Now) {
  if (!Chosen.Move)
    return;
  Sample.IsNew = Chosen.IsNew;
  Sample.NewShare = Chosen.NewShare;
  const std::lock_guard Lock(Chosen.Move->Mutex);
  Chosen.Move->Move.observe(Route, Sample, Now);
  Chosen.Move->Share.store(Chosen.Move->Move.share());
}

std::vector<move_summary> move_controller::summaries() const {
  std::vector<move_summary> List;
  for (const auto &[Name, Move] : *Moves.snapshot()) {
    const std::lock_guard Lock(Move->Mutex);
    List.push_back({Name, Move->To, std::string(stateName(Move->Move.state())),
                    Move->Move.share()});
  }
  return List;
}

// Starts the moves of new documents and drops those whose document was
// replaced.
void move_controller::followDocuments() {
  const auto Present = Moves.snapshot();
  auto Next = std::make_shared<move_map>();
  bool IsChanged = false;
  for (const auto &[Name, Service] : *Services.all()) {
    if (!Service->Document.Move)
      continue;
    const auto Found = Present->find(Service->Document.Service);
    if (Found != Present->end() && Found->second->Number == Service->Number) {
      Next->insert(*Found);
      continue;
    }
    const auto Routes = routesOf(Service->Document);
    auto Move =
        std::make_shared<running_move>(*Service, makePlan(*Service), Routes);
    Next->emplace(Service->Document.Service, Move);
    IsChanged = true;
    asio::co_spawn(Context, readRecord(Move), asio::detached);
  }
  if (IsChanged || Next->size() != Present->size())
    Moves.publish(std::move(Next));
}

void move_controller::tick(running_move &Running, time_point Now) {
  std::optional<move_update> News;
  std::optional<move_record> Record;
  {
    const std::lock_guard Lock(Running.Mutex);
    Running.Move.advance(Now);
    Running.Share.store(Running.Move.share());
    News = Running.Move.takeUpdate(Now);
    Record = Running.Move.proposedRecord();
  }
  if (News)
    sendNews(Running, *News);
  if (!Record || Running.IsWriting)
    return;
  Running.IsWriting = true;
  const auto Present = Moves.snapshot();
  if (const auto Found = Present->find(Running.Service);
      Found != Present->end())
    asio::co_spawn(Context, writeRecord(Found->second, *Record),
                   asio::detached);
}

void move_controller::receive(const peer_sender &Sender,
                              std::string_view Payload) {
  const auto Message = parseMoveMessage(Payload);
  if (!Message)
    return;
  const auto Present = Moves.snapshot();
  const auto Found = Present->find(Message->Service);
  if (Found == Present->end() || Found->second->Number != Message->Number)
    return;
  auto &Running = *Found->second;
  const std::lock_guard Lock(Running.Mutex);
  Running.Move.applyUpdate(Sender.FailureDomain, Message->News,
                           boot_clock::now());
  Running.Share.store(Running.Move.share());
}

void move_controller::sendNews(const running_move &Move,
                               const move_update &News) {
  const std::string Payload =
      move_message{Move.Service, Move.Number, News}.serialize();
  const auto All = Vms.all(); // this VM is the first
  for (std::size_t Index = 1; Index < All->size(); ++Index)
    Network.send((*All)[Index].PeerAddress, peer_message_kind::Moves, Payload);
}

// The transaction requires that the row doesn't exist, so that the first writer
// wins. The other VMs read and adopt its record.
awaitable<void> move_controller::writeRecord(std::shared_ptr<running_move> Move,
                                             move_record Record) {
  table_transaction Transaction;
  Transaction.OperationId = absl::StrCat(Move->rowKey(), "/", drawUniform());
  Transaction.Conditions.push_back({Move->rowKey(), AbsentRow});
  Transaction.Writes.push_back({Move->rowKey(), Record.serialize()});
  const auto Written = co_await Platform.Commit(std::move(Transaction));
  co_await readRecord(Move);
  if (Written.ok())
    Log.info(absl::StrCat("move of ", Move->Service.str(), " to ",
                          Move->To.str(), ": ",
                          toAbsl(outcomeName(Record.Outcome))));
  asio::steady_timer Timer(co_await asio::this_coro::executor,
                           WriteRetryInterval);
  co_await Timer.async_wait(asio::use_awaitable);
  Move->IsWriting = false;
}

awaitable<void>
move_controller::readRecord(std::shared_ptr<running_move> Move) {
  const auto Row = co_await Platform.ReadRow(Move->rowKey());
  if (!Row.ok() || !*Row)
    co_return;
  const auto Record = parseMoveRecord((*Row)->Value);
  if (!Record)
    co_return;
  const std::lock_guard Lock(Move->Mutex);
  Move->Move.applyRecord(*Record);
  Move->Share.store(Move->Move.share());
}

} // namespace sesamepaddle
