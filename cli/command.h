// The commands of the command line; each is implemented in a separate file.
#ifndef DRAGONFLYSTALL_CLI_COMMAND_H
#define DRAGONFLYSTALL_CLI_COMMAND_H

#include <string>
#include <string_view>
#include <vector>

namespace dragonflystall::cli {

/// Exit codes of all commands.
enum ExitCode : int {
  Success = 0,
  Failed = 1,   ///< The command ran; its result is negative.
  BadUsage = 2, ///< The arguments are wrong.
  Conflict = 3, ///< Another writer changed the object first.
  Refused = 4,  ///< The platform refused the request.
  Unreachable = 5,
  UnknownRoute = 6, ///< The route is not in the manifest.
  Unsupported = 7,  ///< The process asked does not know the question.
};

using Arguments = std::vector<std::string>;

struct Command {
  std::string_view Name;
  std::string_view Summary;
  int (*Run)(const Arguments &Args);
};

// cli/applycommand.cpp
int runApply(const Arguments &Args);
// cli/checkcommand.cpp
int runCheck(const Arguments &Args);
// cli/draincommand.cpp
int runDrain(const Arguments &Args);
// cli/showcommand.cpp
int runShow(const Arguments &Args);
// cli/statuscommand.cpp
int runStatus(const Arguments &Args);
// cli/zonecommand.cpp
int runZone(const Arguments &Args);
// cli/benchcommand.cpp
int runBench(const Arguments &Args);
// cli/callcommand.cpp
int runCallCommand(const Arguments &Args);
// cli/loadcommand.cpp
int runLoadCommand(const Arguments &Args);
// cli/explaincommand.cpp
int runExplain(const Arguments &Args);
// cli/wherecommand.cpp
int runWhere(const Arguments &Args);
// cli/timelinecommand.cpp
int runTimelineCommand(const Arguments &Args);

} // namespace dragonflystall::cli

#endif
