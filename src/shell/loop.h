// A daemon's event loop: one thread that polls descriptors, runs timers and
// runs tasks posted by other threads.
#ifndef DRAGONFLYSTALL_SRC_SHELL_LOOP_H
#define DRAGONFLYSTALL_SRC_SHELL_LOOP_H

#include "dragonflystall/types.h"

#include <functional>
#include <memory>

namespace dragonflystall {

class Loop {
public:
  using Task = std::function<void()>;

  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Calls OnReadable whenever the descriptor is readable. Loop thread only.
  void watch(int Descriptor, Task OnReadable);
  /// Stops watching the descriptor. Must be called before the descriptor is
  /// closed, and not from its OnReadable task.
  void unwatch(int Descriptor);
  /// Calls the task every Period. Loop thread only, before run().
  void every(Duration Period, Task OnTime);
  /// Sets the task of the alarm. Loop thread only, before run().
  void onAlarm(Task OnTime);
  /// Calls the alarm's task once, after this time; replaces an earlier call.
  /// Loop thread only, after onAlarm().
  void setAlarm(Duration After);
  /// Calls the task after each round of polling, once all ready descriptors
  /// have been handled, for instance to flush batches.
  void afterRound(Task Flush);
  /// Queues the task for the loop thread. Any thread.
  void post(Task Work);
  /// Calls the task on SIGTERM and SIGINT. Must be called before any thread is
  /// started, because threads inherit the signal mask.
  void onStopSignal(Task OnStop);
  void run();
  /// Makes run() return. Any thread.
  void stop();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
