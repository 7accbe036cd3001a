// dragonflystall-node balancer|agent: a balancer or agent for opaque flows.
#include "node/agent.h"
#include "node/balancer.h"
#include "platform/settings.h"

#include <exception>
#include <fmt/format.h>
#include <string_view>

using namespace dragonflystall;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitStart = 4;

template <typename Role>
int serve(const node::Settings &Settings, node::SettingsReader ReadSettings) {
  Role Node(Settings, std::move(ReadSettings));
  Node.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  const std::string_view Role = Argc == 2 ? Argv[1] : "";
  if (Role != "balancer" && Role != "agent") {
    fmt::print(stderr, "usage: dragonflystall-node balancer|agent\n");
    return ExitUsage;
  }
  const std::string Path = platform::settingsPath();
  const auto Settings = platform::readSettings(Path);
  if (!Settings) {
    fmt::print(stderr, "{}\n", Settings.error());
    return ExitSettings;
  }
  try {
    const auto ReadSettings = [Path] { return platform::readSettings(Path); };
    return Role == "balancer" ? serve<node::Balancer>(*Settings, ReadSettings)
                              : serve<node::Agent>(*Settings, ReadSettings);
  } catch (const std::exception &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return ExitStart;
  }
}
