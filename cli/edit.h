// Changes to single fields of stored settings.
#ifndef DRAGONFLYSTALL_CLI_EDIT_H
#define DRAGONFLYSTALL_CLI_EDIT_H

#include "admin.h"

#include <functional>

namespace dragonflystall::cli {

struct Edit {
  std::string Key;
  std::string Team;
  /// Changes the value; returns false if it needs no change.
  std::function<bool(nlohmann::json &)> Change;
};

/// Reads the object, changes it and stores it by a conditional update. On a
/// conflict with another writer it starts again, which is safe because the
/// changed field does not depend on the other fields. Prints the outcome and
/// returns the exit code.
int runEdit(const Options &Opts, const Edit &Wanted);

} // namespace dragonflystall::cli

#endif
