// Polls descriptors and runs the timers that are due.
#include "loop.h"

#include <algorithm>
#include <poll.h>
#include <vector>

namespace review {

namespace {

constexpr int LongestWaitMilliseconds = 1000;

} // namespace

void Loop::watch(int Descriptor, Task OnReadable) {
  auto &Entry = Watches_[Descriptor];
  if (!Entry)
    Entry = std::make_shared<Watch>();
  Entry->OnReadable = std::move(OnReadable);
}

void Loop::watchWritable(int Descriptor, Task OnWritable) {
  auto &Entry = Watches_[Descriptor];
  if (!Entry)
    Entry = std::make_shared<Watch>();
  Entry->OnWritable = std::move(OnWritable);
}

void Loop::unwatch(int Descriptor) { Watches_.erase(Descriptor); }

void Loop::after(Duration Delay, Task OnTime) {
  Timers_.emplace(now() + Delay, std::move(OnTime));
}

void Loop::every(Duration Period, std::function<bool()> OnTime) {
  after(Period, [this, Period, OnTime = std::move(OnTime)] {
    if (OnTime())
      every(Period, OnTime);
  });
}

void Loop::runTimers() {
  while (!Timers_.empty() && Timers_.begin()->first <= now()) {
    const Task OnTime = std::move(Timers_.begin()->second);
    Timers_.erase(Timers_.begin());
    OnTime();
  }
}

void Loop::run() {
  while (!Stopped_) {
    std::vector<pollfd> Polled;
    for (const auto &[Descriptor, Entry] : Watches_) {
      const int Events =
          (Entry->OnReadable ? POLLIN : 0) | (Entry->OnWritable ? POLLOUT : 0);
      Polled.push_back({Descriptor, static_cast<short>(Events), 0});
    }
    int Wait = LongestWaitMilliseconds;
    if (!Timers_.empty())
      Wait = std::clamp<int>(std::chrono::ceil<std::chrono::milliseconds>(
                                 Timers_.begin()->first - now())
                                 .count(),
                             0, LongestWaitMilliseconds);
    ::poll(Polled.data(), Polled.size(), Wait);
    runTimers();
    for (const pollfd &Ready : Polled) {
      // A task may have removed a watch, or replaced it by another one.
      const auto It = Watches_.find(Ready.fd);
      if (Ready.revents == 0 || It == Watches_.end())
        continue;
      const std::shared_ptr<Watch> Entry = It->second;
      if ((Ready.revents & POLLOUT) && Entry->OnWritable) {
        const Task OnWritable = Entry->OnWritable;
        OnWritable();
      } else if ((Ready.revents & ~POLLOUT) && Entry->OnReadable) {
        const Task OnReadable = Entry->OnReadable;
        OnReadable();
      }
    }
  }
}

} // namespace review
