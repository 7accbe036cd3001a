// The command line: finds the command and runs it.
#include "command.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

using namespace dragonflystall::cli;

namespace {

constexpr std::array Commands = {
    Command{"apply", "store settings on the platform", runApply},
    Command{"check", "check settings files", runCheck},
    Command{"show", "show stored objects", runShow},
    Command{"zone", "take an availability zone out of service or back in",
            runZone},
    Command{"drain", "drain an upstream of a service", runDrain},
    Command{"status", "show where the settings are in force", runStatus},
    Command{"bench", "run the deterministic workloads", runBench},
    Command{"call", "send one request and print its verdict", runCallCommand},
    Command{"load", "drive many flows and write a report", runLoadCommand},
    Command{"timeline", "merge the events of many processes",
            runTimelineCommand},
    Command{"explain", "print the history of one flow from logs", runExplain},
    Command{"where", "explain where a new flow would go now", runWhere},
};

void printCommands() {
  fmt::print("usage: dragonflystall COMMAND [--help]\n\ncommands:\n");
  for (const Command &Listed : Commands)
    fmt::print("  {:<10} {}\n", Listed.Name, Listed.Summary);
}

} // namespace

int main(int Count, char **Values) {
  const Arguments Args(Values + 1, Values + Count);
  if (Args.empty() || Args[0] == "--help" || Args[0] == "help") {
    printCommands();
    return Args.empty() ? BadUsage : Success;
  }
  const auto *It = std::find_if(
      Commands.begin(), Commands.end(),
      [&](const Command &Listed) { return Listed.Name == Args[0]; });
  if (It == Commands.end()) {
    fmt::print(stderr, "unknown command '{}'\n", Args[0]);
    return BadUsage;
  }
  return It->Run(Arguments(Args.begin() + 1, Args.end()));
}
