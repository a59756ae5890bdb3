#include "sesamepaddle/net/deadline_queue.h"

#include <algorithm>
#include <map>

namespace sesamepaddle {

struct deadline_queue::state : std::enable_shared_from_this<state> {
  using key = std::pair<time_point, std::uint64_t>;

  explicit state(const asio::any_io_executor &Executor) : Timer(Executor) {}

  /** Sets the timer if it would fire after the earliest deadline. */
  void arm() {
    if (Entries.empty() || Entries.begin()->first.first >= ArmedFor)
      return;
    ArmedFor = Entries.begin()->first.first;
    Timer.expires_after(
        std::max(duration::zero(), ArmedFor - boot_clock::now()));
    Timer.async_wait(
        [Weak = weak_from_this()](const boost::system::error_code &Error) {
          if (const auto State = Weak.lock(); State && !Error)
            State->fire();
        });
  }

  // A called function may add and withdraw deadlines, so each entry is removed
  // before its call and the next one is looked up after it.
  void fire() {
    ArmedFor = time_point::max();
    const auto Now = boot_clock::now();
    while (!Entries.empty() && Entries.begin()->first.first <= Now) {
      const auto OnPassed = std::move(Entries.begin()->second);
      Entries.erase(Entries.begin());
      OnPassed();
    }
    arm();
  }

  asio::steady_timer Timer;
  std::map<key, std::function<void()>> Entries;
  time_point ArmedFor = time_point::max(); ///< when the timer fires
  std::uint64_t LastId = 0;
};

deadline_queue::registration::registration(std::weak_ptr<state> Queue,
                                           time_point At, std::uint64_t Id)
    : Queue(std::move(Queue)), At(At), Id(Id) {}

deadline_queue::registration::registration(registration &&Other) noexcept
    : Queue(std::move(Other.Queue)), At(Other.At), Id(Other.Id) {
  Other.Queue.reset();
}

deadline_queue::registration &
deadline_queue::registration::operator=(registration &&Other) noexcept {
  if (this != &Other) {
    withdraw();
    Queue = std::move(Other.Queue);
    Other.Queue.reset();
    At = Other.At;
    Id = Other.Id;
  }
  return *this;
}

deadline_queue::registration::~registration() { withdraw(); }

void deadline_queue::registration::withdraw() {
  if (const auto State = Queue.lock())
    State->Entries.erase({At, Id});
  Queue.reset();
}

deadline_queue::deadline_queue(const asio::any_io_executor &Executor)
    : State(std::make_shared<state>(Executor)) {}

deadline_queue::~deadline_queue() = default;

deadline_queue::registration
deadline_queue::add(time_point At, std::function<void()> OnPassed) {
  const auto Id = ++State->LastId;
  State->Entries.emplace(state::key{At, Id}, std::move(OnPassed));
  State->arm();
  return {State, At, Id};
}

std::size_t deadline_queue::size() const { return State->Entries.size(); }

} // namespace sesamepaddle
