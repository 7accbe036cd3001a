// What both daemons do first: read the command line and the settings file.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_STARTUP_H
#define DRAGONFLYSTALL_SRC_SETTINGS_STARTUP_H

#include "settings/hostsettings.h"

#include <optional>

namespace dragonflystall {

/// Reads `--settings FILE`; prints help or every error to standard error.
/// Nothing when the process should exit with ExitCode.
std::optional<HostSettings>
readHostSettings(int Count, char **Values, const char *Purpose, int &ExitCode);

} // namespace dragonflystall

#endif
