// A child process started by the soak.
#ifndef DRAGONFLYSTALL_SOAK_CHILD_H
#define DRAGONFLYSTALL_SOAK_CHILD_H

#include "dragonflystall/types.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonflystall::soak {

class Child {
public:
  Child() = default;
  /// Kills the process if it still runs.
  ~Child();
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;

  /// Starts a program with one variable, NAME=VALUE, in its environment; its
  /// output is appended to a file. Throws std::runtime_error.
  void start(const std::vector<std::string> &Command,
             const std::string &Variable, const std::string &Output);
  /// Sends a signal if the process runs.
  void signal(int Number) const;
  bool isRunning() const { return Pid_ > 0; }
  /// Collects the exit status; returns whether the process has ended since
  /// the last call.
  bool hasEnded();
  /// Exit status or signal of the last process: "status 1" or "signal 9".
  const std::string &exitReason() const { return ExitReason_; }

private:
  pid_t Pid_ = 0;
  std::string ExitReason_;
};

} // namespace dragonflystall::soak

#endif
