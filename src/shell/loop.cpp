// The event loop on epoll: an eventfd wakes it for posted tasks, a timerfd
// drives each timer and a signalfd receives the stop signals.
#include "loop.h"

#include "descriptor.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <system_error>
#include <vector>

namespace dragonflystall {

namespace {

constexpr size_t EventsPerRound = 32;

Descriptor checked(int Value, const char *Operation) {
  if (Value < 0)
    throw std::system_error(errno, std::generic_category(), Operation);
  return Descriptor(Value);
}

timespec toTimespec(Duration Value) {
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Value);
  return {static_cast<time_t>(Seconds.count()),
          static_cast<long>((Value - Seconds).count())};
}

/// Resets the counter of a timerfd or an eventfd by reading it.
void resetCounter(int Counter) {
  uint64_t Ignored = 0;
  while (::read(Counter, &Ignored, sizeof(Ignored)) > 0)
    continue;
}

sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

} // namespace

struct Loop::State {
  Descriptor Poll = checked(epoll_create1(EPOLL_CLOEXEC), "epoll_create1");
  Descriptor Wake = checked(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd");
  /// Timers and the signal descriptor, open until the loop is destroyed.
  std::vector<Descriptor> Owned;
  Descriptor Alarm; ///< Unset before onAlarm().
  /// By descriptor. Map nodes stay valid while a task adds another watch.
  std::map<int, Task> Readable;
  std::vector<Task> Flushes;
  std::atomic<bool> Stopped = false;
  std::mutex PostedMutex;
  std::vector<Task> Posted; ///< Guarded by PostedMutex.

  void wake() {
    const uint64_t One = 1;
    // The write fails only if the counter is at its maximum, and then the loop
    // is woken anyway.
    [[maybe_unused]] const auto Written =
        ::write(Wake.get(), &One, sizeof(One));
  }

  void runPosted() {
    std::vector<Task> Work;
    {
      const std::lock_guard Lock(PostedMutex);
      Work.swap(Posted);
    }
    for (Task &Item : Work)
      Item();
  }

  void round() {
    std::array<epoll_event, EventsPerRound> Events;
    const int Count =
        epoll_wait(Poll.get(), Events.data(), Events.size(), /*timeout=*/-1);
    for (int I = 0; I < Count; ++I) {
      auto It = Readable.find(Events[I].data.fd);
      if (It != Readable.end())
        It->second();
    }
    for (Task &Flush : Flushes)
      Flush();
  }
};

Loop::Loop() : State_(std::make_unique<State>()) {
  watch(State_->Wake.get(), [this] {
    resetCounter(State_->Wake.get());
    State_->runPosted();
  });
}

Loop::~Loop() = default;

void Loop::watch(int Watched, Task OnReadable) {
  State_->Readable[Watched] = std::move(OnReadable);
  epoll_event Interest{};
  Interest.events = EPOLLIN;
  Interest.data.fd = Watched;
  if (epoll_ctl(State_->Poll.get(), EPOLL_CTL_ADD, Watched, &Interest) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

void Loop::unwatch(int Watched) {
  epoll_ctl(State_->Poll.get(), EPOLL_CTL_DEL, Watched, nullptr);
  State_->Readable.erase(Watched);
}

void Loop::every(Duration Period, Task OnTime) {
  Descriptor Timer =
      checked(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC),
              "timerfd_create");
  const itimerspec Schedule{toTimespec(Period), toTimespec(Period)};
  timerfd_settime(Timer.get(), /*flags=*/0, &Schedule, nullptr);
  const int Watched = Timer.get();
  State_->Owned.push_back(std::move(Timer));
  watch(Watched, [Watched, OnTime = std::move(OnTime)] {
    resetCounter(Watched);
    OnTime();
  });
}

void Loop::onAlarm(Task OnTime) {
  State_->Alarm =
      checked(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC),
              "timerfd_create");
  watch(State_->Alarm.get(), [this, OnTime = std::move(OnTime)] {
    resetCounter(State_->Alarm.get());
    OnTime();
  });
}

void Loop::setAlarm(Duration After) {
  // A time of zero would disarm the timer.
  const itimerspec Schedule{{}, toTimespec(std::max<Duration>(After, 1us))};
  timerfd_settime(State_->Alarm.get(), /*flags=*/0, &Schedule, nullptr);
}

void Loop::afterRound(Task Flush) {
  State_->Flushes.push_back(std::move(Flush));
}

void Loop::post(Task Work) {
  {
    const std::lock_guard Lock(State_->PostedMutex);
    State_->Posted.push_back(std::move(Work));
  }
  State_->wake();
}

void Loop::onStopSignal(Task OnStop) {
  const sigset_t Set = stopSignals();
  // Threads that start later inherit the mask, so that the signals are
  // delivered through the signalfd only.
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  Descriptor Signals =
      checked(signalfd(-1, &Set, SFD_NONBLOCK | SFD_CLOEXEC), "signalfd");
  const int Watched = Signals.get();
  State_->Owned.push_back(std::move(Signals));
  watch(Watched, [Watched, OnStop = std::move(OnStop)] {
    signalfd_siginfo Info;
    while (::read(Watched, &Info, sizeof(Info)) > 0)
      continue;
    OnStop();
  });
}

void Loop::run() {
  while (!State_->Stopped)
    State_->round();
}

void Loop::stop() {
  State_->Stopped = true;
  State_->wake();
}

} // namespace dragonflystall
