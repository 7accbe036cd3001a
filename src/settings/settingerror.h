// A validation error in a settings value, and its place in the value.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_SETTINGERROR_H
#define DRAGONFLYSTALL_SRC_SETTINGS_SETTINGERROR_H

#include <string>
#include <vector>

namespace dragonflystall {

struct SettingError {
  std::string Path; ///< JSON pointer; empty for the whole value.
  std::string Expected;
  friend bool operator==(const SettingError &, const SettingError &) = default;
};

using SettingErrors = std::vector<SettingError>;

/// All errors in one line, for logs: "/limits/slots: expected a whole number;
/// ...".
std::string toString(const SettingErrors &Errors);

} // namespace dragonflystall

#endif
