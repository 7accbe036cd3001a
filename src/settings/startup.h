// Start-up of both daemons: reads the command line and the settings file.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_STARTUP_H
#define DRAGONFLYSTALL_SRC_SETTINGS_STARTUP_H

#include "settings/hostsettings.h"

#include <optional>

namespace dragonflystall {

/// Parses the command line and reads the file given by `--settings FILE`.
/// Prints the help to standard output and all errors to standard error. Returns
/// std::nullopt if the process should exit with ExitCode.
std::optional<HostSettings>
readHostSettings(int Count, char **Values, const char *Purpose, int &ExitCode);

} // namespace dragonflystall

#endif
