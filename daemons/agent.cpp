// dragonflystall-agent: runs on the same host as its upstream.
#include "agent/agentdaemon.h"
#include "settings/startup.h"

#include <fmt/format.h>

int main(int Count, char **Values) {
  using namespace dragonflystall;
  int ExitCode = 0;
  const auto Host = readHostSettings(
      Count, Values, "dragonflystall-agent: runs beside one upstream",
      ExitCode);
  if (!Host)
    return ExitCode;
  AgentDaemon Daemon(*Host);
  if (auto Started = Daemon.start(); !Started) {
    fmt::print(stderr, "{}\n", Started.error());
    return 1;
  }
  Daemon.run();
  return 0;
}
