#include "sesamepaddle/entry/entry_vm.h"

#include "entry/control_handler.h"
#include "entry/crash_message.h"
#include "entry/document_exchange.h"
#include "entry/lookup_handler.h"
#include "entry/membership_driver.h"
#include "entry/move_controller.h"
#include "entry/platform_poller.h"
#include "entry/request_handler.h"
#include "entry/share_limiter.h"
#include "entry/static_limiter.h"
#include "entry/vm_directory.h"
#include "sesamepaddle/entry/failures.h"
#include "sesamepaddle/peers/peer_network.h"
#include "sesamepaddle/platform/http_platform.h"

#include "absl/strings/str_cat.h"

#include <condition_variable>
#include <fstream>
#include <iterator>
#include <mutex>
#include <random>
#include <thread>

namespace sesamepaddle {

namespace {

using std::chrono::milliseconds;
// How often a draining VM checks whether requests are still running.
constexpr milliseconds DrainPollInterval{10};
// Added to the time to live of look-up answers, since a request that is sent
// just before the caller's look-up answer expires arrives later than that.
constexpr milliseconds LookupExpiryMargin{500};
constexpr std::size_t MinSecretBytes = 16; // shorter peer secrets are rejected

incarnation generateIncarnation() {
  std::random_device Device;
  return incarnation{(std::uint64_t{Device()} << 32) | Device()};
}

absl::StatusOr<std::string> readPeerSecret(const std::string &Path) {
  std::ifstream File(Path);
  std::string Secret((std::istreambuf_iterator<char>(File)),
                     std::istreambuf_iterator<char>());
  if (Secret.size() < MinSecretBytes)
    return makeFailure(entry_failure::NoPeerSecret,
                       absl::StrCat(Path, " must hold a secret of at least ",
                                    MinSecretBytes, " bytes"));
  return Secret;
}

} // namespace

class entry_vm::implementation {
public:
  explicit implementation(const vm_settings &Settings)
      : Settings(Settings), Workers(Settings.Workers), Control(1),
        Vms({Settings.Name, Settings.Region, Settings.FailureDomain,
             Settings.CallerAddress, Settings.PeerAddress, false}) {
    for (std::size_t Index = 0; Index < Workers.size(); ++Index)
      Clients.push_back(std::make_shared<http_client>());
  }

  ~implementation() {
    requestStop();
    if (StopThread.joinable())
      StopThread.join();
    Workers.stop();
    Control.stop();
  }

  absl::Status start() {
    const auto Platform = parseEndpoint(Settings.PlatformAddress);
    if (!Platform.ok())
      return Platform.status();
    for (const auto &Client : Clients)
      Platforms.push_back(
          makeHttpPlatform(Client, *Platform, Settings.PlatformTimeout));
    if (const auto Status = startPeers(); !Status.ok())
      return Status;
    makePoller(*Platform);
    Moves = std::make_unique<move_controller>(
        Control.context(0), *Peers,
        makeHttpPlatform(std::make_shared<http_client>(), *Platform,
                         Settings.PlatformTimeout),
        Services, Vms);
    makeRequestHandler();
    receiveCrashes();
    startShares(*Platform);
    if (const auto Status = startServers(); !Status.ok())
      return Status;
    asio::co_spawn(Control.context(0), Poller->run(Stopping), asio::detached);
    asio::co_spawn(Control.context(0), Members->run(Stopping), asio::detached);
    asio::co_spawn(Control.context(0), Moves->run(Stopping), asio::detached);
    StopThread = std::thread([this] { waitAndStop(); });
    Log.info(absl::StrCat("serving callers at ",
                          formatEndpoint(CallerServer->localEndpoint())));
    return absl::OkStatus();
  }

  void requestStop() {
    {
      const std::lock_guard Lock(StopMutex);
      StopRequested = true;
    }
    StopCondition.notify_all();
  }

  stop_result waitUntilStopped() {
    std::unique_lock Lock(StopMutex);
    StopCondition.wait(Lock, [this] { return Stopped; });
    return Result;
  }

private:
  void makeRequestHandler() {
    request_handler_hooks Hooks;
    Hooks.Admit = [this](const service_snapshot &Service,
                         const document_workspace &Workspace,
                         time_point Now) -> awaitable<bool> {
      if (Shares)
        co_return co_await Shares->admit(Service.Document.Service,
                                         Workspace.Name);
      co_return Limiter.admit(Service.Document.Service, Workspace,
                              Service.AppliedAt, Now);
    };
    Hooks.Client = [this]() -> http_client & {
      return *Clients[worker_pool::currentWorker()];
    };
    Hooks.Now = [] { return boot_clock::now(); };
    Hooks.IsCutOff = [this](time_point Now) {
      return Documents->freshnessAt(Now) == freshness::CutOff;
    };
    Hooks.Platform = [this]() -> const platform_client & {
      return Platforms[worker_pool::currentWorker()];
    };
    Hooks.FindVm = [this](const vm_name &Name) {
      return Vms.findCallerAddress(Name);
    };
    Hooks.BroadcastCrash = [this](const crash_evidence &Evidence) {
      broadcastCrash(Evidence);
    };
    Hooks.ChooseVersion = [this](const service_snapshot &Service) {
      return Moves->choose(Service);
    };
    Requests = std::make_unique<request_handler>(
        vm_identity{Settings.Name, Incarnation}, Settings.FailureDomain,
        Services, Metrics, std::move(Hooks));
  }

  absl::Status startPeers() {
    auto Secret = readPeerSecret(Settings.PeerSecretFile);
    if (!Secret.ok())
      return Secret.status();
    peer_network_options Options;
    Options.ListenAddress = Settings.PeerAddress;
    Options.Self = {Settings.Name, Incarnation};
    Options.FailureDomain = Settings.FailureDomain;
    Options.Secret = std::move(*Secret);
    auto Network = peer_network::start(Control.context(0), std::move(Options));
    if (!Network.ok())
      return Network.status();
    Peers = std::move(*Network);
    Documents = std::make_unique<document_exchange>(*Peers, Services,
                                                    Settings.PeerAddress);
    Members = std::make_unique<membership_driver>(
        Control.context(0), *Peers, Vms,
        member_address{Settings.Name, Settings.Region, Settings.FailureDomain,
                       Settings.CallerAddress, Settings.PeerAddress},
        Incarnation);
    Members->OnTick = [this] { Documents->tick(Members->spreadPeers()); };
    return absl::OkStatus();
  }

  void receiveCrashes() {
    Peers->receive(peer_message_kind::Requests,
                   [this](const peer_sender &, std::string_view Payload) {
                     if (const auto Evidence = decodeCrash(Payload))
                       Requests->recordRemoteCrash(*Evidence);
                   });
  }

  void makePoller(const tcp::endpoint &Platform) {
    platform_poller_hooks Hooks;
    Hooks.ListAfter = [this] { return Documents->listAfter(); };
    Hooks.OnListing = [this](const table_listing &Listing, time_point Sent) {
      Documents->takeListing(Listing, Sent);
    };
    Hooks.OnVms = [this](std::span<const listed_vm> Listed) {
      Members->setList(Listed);
      Limiter.setVmCount(Listed.size());
    };
    Hooks.IsPoller = [this] { return Members->isPoller(); };
    Hooks.IsFresh = [this] {
      return Documents->freshnessAt(boot_clock::now()) == freshness::Fresh;
    };
    Poller = std::make_unique<platform_poller>(
        makeHttpPlatform(std::make_shared<http_client>(), Platform,
                         Settings.PlatformTimeout),
        std::move(Hooks), Settings.PollInterval);
  }

  void broadcastCrash(const crash_evidence &Evidence) {
    for (const auto &Vm : *Vms.all())
      if (Vm.Name != Settings.Name &&
          Vm.FailureDomain == Settings.FailureDomain)
        Peers->send(Vm.PeerAddress, peer_message_kind::Requests,
                    encodeCrash(Evidence));
  }

  void startShares(const tcp::endpoint &Platform) {
    if (Settings.DomainParts == 0)
      return;
    share_limiter_options Options;
    Options.Self = {Settings.Name, Incarnation};
    Options.FailureDomain = Settings.FailureDomain;
    Options.DomainParts = Settings.DomainParts;
    Shares = std::make_unique<share_limiter>(
        Control.context(0), std::move(Options),
        makeHttpPlatform(std::make_shared<http_client>(), Platform,
                         Settings.PlatformTimeout),
        *Peers, Services, Vms);
    Lookups.HomeOf = [this](const service_name &Service,
                            const workspace_name &Workspace) {
      return Shares->homeOf(Service, Workspace);
    };
    Shares->start(Stopping);
  }

  absl::Status startServers() {
    http_server_limits Limits;
    Limits.HeaderBytes = Settings.HeaderBytes;
    Limits.BodyBytes = Settings.BodyBytes;
    Limits.HeaderTimeout = Settings.HeaderTimeout;
    auto Callers = http_server::start(
        Workers, Settings.CallerAddress,
        [this](const http_exchange &Exchange) {
          return answerCaller(Exchange);
        },
        Limits);
    if (!Callers.ok())
      return Callers.status();
    CallerServer = std::move(*Callers);
    auto Operators = http_server::start(Control, Settings.ControlAddress,
                                        [this](const http_exchange &Exchange) {
                                          return answerOperator(Exchange);
                                        });
    if (!Operators.ok())
      return Operators.status();
    ControlServer = std::move(*Operators);
    return absl::OkStatus();
  }

  awaitable<http_reply> answerCaller(const http_exchange &Exchange) {
    if (targetPath(Exchange.Request.Target) == "/lookup")
      co_return Lookups.answer(Exchange.Request);
    co_return co_await Requests->handle(Exchange);
  }

  awaitable<http_reply> answerOperator(const http_exchange &Exchange) {
    const control_sources Sources{
        Settings,   Services, Vms,          *Poller, *Members,
        *Documents, *Moves,   Shares.get(), Metrics, [this] { requestStop(); }};
    co_return answerControl(Sources, Exchange.Request);
  }

  // Removes this VM from look-up answers first and keeps serving until all
  // earlier answers have expired. Then completes the running requests, within
  // the drain limit.
  void waitAndStop() {
    {
      std::unique_lock Lock(StopMutex);
      StopCondition.wait(Lock, [this] { return StopRequested; });
    }
    Log.info("leaving");
    Vms.markLeaving();
    if (Shares)
      Shares->leave();
    Members->leave();
    CallerServer->beginDrain();
    std::this_thread::sleep_for(Settings.LookupTimeToLive + LookupExpiryMargin);
    const auto Limit = std::chrono::steady_clock::now() + Settings.DrainLimit;
    while (CallerServer->requestsInFlight() > 0 &&
           std::chrono::steady_clock::now() < Limit)
      std::this_thread::sleep_for(DrainPollInterval);
    // More requests may arrive until the listener is closed, so a second wait
    // follows.
    CallerServer->stopAccepting();
    while (CallerServer->requestsInFlight() > 0 &&
           std::chrono::steady_clock::now() < Limit)
      std::this_thread::sleep_for(DrainPollInterval);
    Stopping.store(true);
    const bool IsGraceful = CallerServer->requestsInFlight() == 0;
    Log.info(IsGraceful
                 ? "stopped"
                 : "stopped at the drain limit with requests still running");
    {
      const std::lock_guard Lock(StopMutex);
      Result = IsGraceful ? stop_result::Graceful : stop_result::DrainTimedOut;
      Stopped = true;
    }
    StopCondition.notify_all();
  }

  const vm_settings Settings;
  const incarnation Incarnation = generateIncarnation();
  service_directory Services;
  metrics Metrics;
  static_limiter Limiter;
  worker_pool Workers; // handles callers' requests
  worker_pool Control; // one thread for peers, platform and control address
  // One per worker. Declared after the worker pools, so that pooled connections
  // are destroyed before the io_contexts that they use.
  std::vector<std::shared_ptr<http_client>> Clients;
  std::vector<platform_client> Platforms; // one per worker
  vm_directory Vms;
  lookup_handler Lookups{Settings.FailureDomain, Settings.LookupTimeToLive,
                         Services, Vms};
  std::unique_ptr<platform_poller> Poller;
  std::unique_ptr<peer_network> Peers;
  std::unique_ptr<document_exchange> Documents;
  std::unique_ptr<membership_driver> Members;
  std::unique_ptr<move_controller> Moves;
  std::unique_ptr<share_limiter> Shares;
  std::unique_ptr<request_handler> Requests;
  std::unique_ptr<http_server> CallerServer;
  std::unique_ptr<http_server> ControlServer;
  component_log Log{"entry"};

  std::atomic<bool> Stopping{false};
  std::mutex StopMutex;
  std::condition_variable StopCondition;
  bool StopRequested = false;
  bool Stopped = false;
  stop_result Result = stop_result::Graceful;
  std::thread StopThread;
};

absl::StatusOr<std::unique_ptr<entry_vm>>
entry_vm::start(const vm_settings &Settings) {
  auto Implementation = std::make_unique<implementation>(Settings);
  if (const auto Status = Implementation->start(); !Status.ok())
    return Status;
  return std::unique_ptr<entry_vm>(new entry_vm(std::move(Implementation)));
}

entry_vm::entry_vm(std::unique_ptr<implementation> Implementation)
    : Implementation(std::move(Implementation)) {}

entry_vm::~entry_vm() = default;

void entry_vm::requestStop() { Implementation->requestStop(); }

stop_result entry_vm::waitUntilStopped() {
  return Implementation->waitUntilStopped();
}

} // namespace sesamepaddle
