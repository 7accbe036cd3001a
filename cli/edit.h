// Changes to single fields of stored settings.
#ifndef DRAGONFLYSTALL_CLI_EDIT_H
#define DRAGONFLYSTALL_CLI_EDIT_H

#include "admin.h"

#include <functional>

namespace dragonflystall::cli {

struct Edit {
  std::string Key;
  std::string Team;
  /// Changes the value; false when it is as wanted already.
  std::function<bool(nlohmann::json &)> Change;
};

/// Reads the object, changes it and stores it by a conditional update. When
/// somebody else was faster, it starts over: the change is of a field that
/// does not depend on the others. Returns the exit code and says what happened.
int runEdit(const Options &Opts, const Edit &Wanted);

} // namespace dragonflystall::cli

#endif
