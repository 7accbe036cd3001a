// A daemon's event loop: one thread that polls descriptors, runs timers and
// takes work that other threads post to it.
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
  /// Forgets the descriptor; call before it is closed. Not from its own task.
  void unwatch(int Descriptor);
  /// Calls the task every Period. Loop thread only, before run().
  void every(Duration Period, Task OnTime);
  /// Calls the task after each round, when all that was ready was handled:
  /// the place to flush batches.
  void afterRound(Task Flush);
  /// Runs the task on the loop thread soon. Any thread.
  void post(Task Work);
  /// Also posts on SIGTERM and SIGINT. Call before any thread starts.
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
