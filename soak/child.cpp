// Start, signals and end of a process.
#include "soak/child.h"

#include <array>
#include <climits>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace dragonflystall::soak {

Child::~Child() {
  if (!running())
    return;
  signal(SIGKILL);
  ::waitpid(Pid_, nullptr, 0);
}

void Child::start(const std::vector<std::string> &Command,
                  const std::string &Variable, const std::string &Output) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  const std::array<char *, 2> Environment = {
      const_cast<char *>(Variable.c_str()), nullptr};
  Pid_ = ::fork();
  if (Pid_ < 0)
    throw std::runtime_error("cannot start " + Command[0]);
  if (Pid_ > 0)
    return;
  // It must not outlive the soak.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int File = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(File, STDOUT_FILENO);
  ::dup2(File, STDERR_FILENO);
  // An inherited socket would keep a connection open that the soak closes.
  ::close_range(STDERR_FILENO + 1, UINT_MAX, 0);
  ::execve(Arguments[0], Arguments.data(), Environment.data());
  ::_exit(127);
}

void Child::signal(int Number) const {
  if (running())
    ::kill(Pid_, Number);
}

bool Child::ended() {
  int Status = 0;
  if (!running() || ::waitpid(Pid_, &Status, WNOHANG) != Pid_)
    return false;
  ExitReason_ = WIFSIGNALED(Status)
                    ? fmt::format("signal {}", WTERMSIG(Status))
                    : fmt::format("status {}", WEXITSTATUS(Status));
  Pid_ = 0;
  return true;
}

} // namespace dragonflystall::soak
