// Services shared by all parts of a process: the event loop, the clock, the
// log, the metrics and a random engine, which also seeds others.
#ifndef DRAGONFLYSTALL_SRC_NODE_SERVICES_H
#define DRAGONFLYSTALL_SRC_NODE_SERVICES_H

#include "dragonflystall/clock.h"
#include "observe/eventlog.h"
#include "observe/metrics.h"

#include <ctime>
#include <event2/event.h>
#include <functional>
#include <memory>

namespace dragonflystall::node {

/// A monotonic clock that includes the time in which the machine was suspended,
/// since state received before a suspension is outdated after it. Models Clock.
struct BootClock {
  TimePoint now() const {
    timespec Time{};
    ::clock_gettime(CLOCK_BOOTTIME, &Time);
    return TimePoint(std::chrono::seconds(Time.tv_sec) +
                     std::chrono::nanoseconds(Time.tv_nsec));
  }
  std::chrono::system_clock::time_point wallTime() const {
    return std::chrono::system_clock::now();
  }
};
static_assert(Clock<BootClock>);

struct FreeBase {
  void operator()(event_base *Base) const { event_base_free(Base); }
};
struct FreeEvent {
  void operator()(event *E) const { event_free(E); }
};
using EventPtr = std::unique_ptr<event, FreeEvent>;

struct Services {
  explicit Services(const std::string &Process)
      : Base(event_base_new()), Log(Process) {}

  std::unique_ptr<event_base, FreeBase> Base;
  BootClock Time;
  EventLog Log;
  Metrics Counts;
  Random Rng{std::random_device()()};

  TimePoint now() const { return Time.now(); }
  EventLog::Line log(LogClass Class, std::string_view Event) {
    return {Log, Class, Event};
  }
};

/// Calls a function whenever a descriptor is readable.
class ReadWatch {
public:
  ReadWatch(event_base *Base, int Descriptor, std::function<void()> OnReadable)
      : OnReadable_(std::move(OnReadable)),
        Event_(event_new(Base, Descriptor, EV_READ | EV_PERSIST, &fire, this)) {
    event_add(Event_.get(), nullptr);
  }
  ReadWatch(const ReadWatch &) = delete;
  ReadWatch &operator=(const ReadWatch &) = delete;

private:
  static void fire(evutil_socket_t, short, void *Self) {
    static_cast<ReadWatch *>(Self)->OnReadable_();
  }
  std::function<void()> OnReadable_;
  EventPtr Event_;
};

/// Calls a function periodically.
class Ticker {
public:
  Ticker(event_base *Base, Duration Period, std::function<void()> OnTime)
      : OnTime_(std::move(OnTime)),
        Event_(event_new(Base, -1, EV_PERSIST, &fire, this)) {
    const auto Microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(Period).count();
    const timeval Time = {Microseconds / 1000000, Microseconds % 1000000};
    event_add(Event_.get(), &Time);
  }
  Ticker(const Ticker &) = delete;
  Ticker &operator=(const Ticker &) = delete;

private:
  static void fire(evutil_socket_t, short, void *Self) {
    static_cast<Ticker *>(Self)->OnTime_();
  }
  std::function<void()> OnTime_;
  EventPtr Event_;
};

/// Calls a function once, some time after it was started.
class DelayedCall {
public:
  DelayedCall(event_base *Base, std::function<void()> OnTime)
      : OnTime_(std::move(OnTime)),
        Event_(event_new(Base, -1, 0, &fire, this)) {}
  DelayedCall(const DelayedCall &) = delete;
  DelayedCall &operator=(const DelayedCall &) = delete;

  /// Does nothing if the call is pending already.
  void start(Duration Delay) {
    if (event_pending(Event_.get(), EV_TIMEOUT, nullptr))
      return;
    const auto Microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(Delay).count();
    const timeval Time = {Microseconds / 1000000, Microseconds % 1000000};
    event_add(Event_.get(), &Time);
  }

private:
  static void fire(evutil_socket_t, short, void *Self) {
    static_cast<DelayedCall *>(Self)->OnTime_();
  }
  std::function<void()> OnTime_;
  EventPtr Event_;
};

/// Calls a function whenever the process receives a signal.
class SignalWatch {
public:
  SignalWatch(event_base *Base, int Signal, std::function<void()> OnSignal)
      : OnSignal_(std::move(OnSignal)),
        Event_(evsignal_new(Base, Signal, &fire, this)) {
    event_add(Event_.get(), nullptr);
  }
  SignalWatch(const SignalWatch &) = delete;
  SignalWatch &operator=(const SignalWatch &) = delete;

private:
  static void fire(evutil_socket_t, short, void *Self) {
    static_cast<SignalWatch *>(Self)->OnSignal_();
  }
  std::function<void()> OnSignal_;
  EventPtr Event_;
};

} // namespace dragonflystall::node

#endif
