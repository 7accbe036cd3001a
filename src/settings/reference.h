// Generates the reference page of all settings from the tables that the
// validation uses.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_REFERENCE_H
#define DRAGONFLYSTALL_SRC_SETTINGS_REFERENCE_H

#include <string>

namespace dragonflystall {

/// Returns the text of docs/SETTINGS.md.
std::string settingsReference();

} // namespace dragonflystall

#endif
