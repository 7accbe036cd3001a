// Starts a process, signals it and collects its exit status.
#include "soak/child.h"

#include <array>
#include <cerrno>
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
  if (!isRunning())
    return;
  signal(SIGKILL);
  ::waitpid(Pid_, nullptr, 0);
}

void Child::start(const std::vector<std::string> &Command,
                  const std::string &Variable, const std::string &Output) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Argument : Command)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  const std::array<char *, 2> Environment = {
      const_cast<char *>(Variable.c_str()), nullptr};
  // The child closes its end when it has closed all that it has inherited.
  std::array<int, 2> Inherited{};
  if (::pipe2(Inherited.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("cannot open a pipe");
  Pid_ = ::fork();
  if (Pid_ != 0) {
    ::close(Inherited[1]);
    char Unused = 0;
    while (::read(Inherited[0], &Unused, 1) < 0 && errno == EINTR) {
    }
    ::close(Inherited[0]);
    if (Pid_ < 0)
      throw std::runtime_error("cannot start " + Command[0]);
    return;
  }
  // The kernel kills the child when the soak ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int File = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(File, STDOUT_FILENO);
  ::dup2(File, STDERR_FILENO);
  // Closes inherited descriptors: an inherited socket would keep a connection
  // open, or an address in use, after the soak has closed it.
  ::close_range(STDERR_FILENO + 1, UINT_MAX, 0);
  ::execve(Arguments[0], Arguments.data(), Environment.data());
  ::_exit(127);
}

void Child::signal(int Number) const {
  if (isRunning())
    ::kill(Pid_, Number);
}

bool Child::hasEnded() {
  int Status = 0;
  if (!isRunning() || ::waitpid(Pid_, &Status, WNOHANG) != Pid_)
    return false;
  ExitReason_ = WIFSIGNALED(Status)
                    ? fmt::format("signal {}", WTERMSIG(Status))
                    : fmt::format("status {}", WEXITSTATUS(Status));
  Pid_ = 0;
  return true;
}

} // namespace dragonflystall::soak
