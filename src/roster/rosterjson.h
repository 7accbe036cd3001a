// Converts a roster to and from JSON, the value of its platform object.
#ifndef DRAGONFLYSTALL_SRC_ROSTER_ROSTERJSON_H
#define DRAGONFLYSTALL_SRC_ROSTER_ROSTERJSON_H

#include "dragonflystall/roster.h"
#include "settings/settingerror.h"

#include <tl/expected.hpp>

namespace dragonflystall {

/// The object's key, "rosters/<team>/<name>".
std::string rosterKey(std::string_view Team, std::string_view Name);
std::string rosterToJson(const Roster &Value);
/// An empty Text means that the object is absent and gives an empty roster. The
/// errors name the path of each invalid key.
tl::expected<Roster, SettingErrors> rosterFromJson(const std::string &Team,
                                                   const std::string &Name,
                                                   uint64_t Version,
                                                   const std::string &Text);

} // namespace dragonflystall

#endif
