// dragonflystall-balancer: runs on each entry host.
#include "settings/startup.h"
#include "steering/balancerdaemon.h"

#include <fmt/format.h>

int main(int Count, char **Values) {
  using namespace dragonflystall;
  int ExitCode = 0;
  const auto Host = readHostSettings(
      Count, Values, "dragonflystall-balancer: runs on each entry host",
      ExitCode);
  if (!Host)
    return ExitCode;
  BalancerDaemon Daemon(*Host);
  if (auto Started = Daemon.start(); !Started) {
    fmt::print(stderr, "{{\"error\":\"{}\"}}\n", Started.error());
    return 1;
  }
  Daemon.run();
  return 0;
}
