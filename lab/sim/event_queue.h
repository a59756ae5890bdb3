#ifndef SESAMEPADDLE_LAB_SIM_EVENT_QUEUE_H
#define SESAMEPADDLE_LAB_SIM_EVENT_QUEUE_H

#include "sesamepaddle/core/clock.h"

#include <functional>
#include <map>
#include <utility>

namespace sesamepaddle {

/** Runs functions in order of virtual time, for simulations. */
class event_queue {
public:
  using event = std::function<void()>;

  /** @returns the current virtual time. */
  time_point now() const { return Now; }

  /** Runs @p Event after @p Delay. Events that are due at the same time run in
      the order in which they were scheduled. */
  void schedule(duration Delay, event Event) {
    Events.emplace(Now + Delay, std::move(Event));
  }

  /** Runs all events up to @p End, which becomes the current virtual time. */
  void runUntil(time_point End) {
    while (!Events.empty() && Events.begin()->first <= End) {
      auto First = Events.extract(Events.begin());
      Now = First.key();
      First.mapped()();
    }
    Now = End;
  }

private:
  time_point Now{};
  std::multimap<time_point, event> Events;
};

} // namespace sesamepaddle

#endif
