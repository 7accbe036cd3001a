// The reference page of all settings, from the tables that the check uses.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_REFERENCE_H
#define DRAGONFLYSTALL_SRC_SETTINGS_REFERENCE_H

#include <string>

namespace dragonflystall {

/// The text of docs/SETTINGS.md.
std::string settingsReference();

} // namespace dragonflystall

#endif
