// A single-threaded event loop over poll(2), with timers.
#ifndef DRAGONFLYSTALL_REVIEW_STANDINS_LOOP_H
#define DRAGONFLYSTALL_REVIEW_STANDINS_LOOP_H

#include <chrono>
#include <functional>
#include <map>
#include <memory>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using namespace std::chrono_literals;

inline TimePoint now() { return Clock::now(); }
inline double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

class Loop {
public:
  using Task = std::function<void()>;

  /// Calls the task whenever the descriptor is readable or has an error.
  void watch(int Descriptor, Task OnReadable);
  /// Calls the task when the descriptor can be written; an empty one ends it.
  void watchWritable(int Descriptor, Task OnWritable);
  void unwatch(int Descriptor);
  /// Calls the task once.
  void after(Duration Delay, Task OnTime);
  /// Calls the task repeatedly until it returns false.
  void every(Duration Period, std::function<bool()> OnTime);
  void run();
  void stop() { Stopped_ = true; }

private:
  struct Watch {
    Task OnReadable;
    Task OnWritable;
  };

  void runTimers();

  std::map<int, std::shared_ptr<Watch>> Watches_;
  std::multimap<TimePoint, Task> Timers_;
  bool Stopped_ = false;
};

} // namespace review

#endif
