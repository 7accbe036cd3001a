// A roster as the JSON value of its platform object.
#ifndef DRAGONFLYSTALL_SRC_ROSTER_ROSTERJSON_H
#define DRAGONFLYSTALL_SRC_ROSTER_ROSTERJSON_H

#include "dragonflystall/roster.h"
#include "settings/settingerror.h"

#include <tl/expected.hpp>

namespace dragonflystall {

/// "rosters/<team>/<name>".
std::string rosterKey(std::string_view Team, std::string_view Name);
std::string rosterToJson(const Roster &R);
/// An empty text stands for an object that is absent: an empty roster.
tl::expected<Roster, SettingErrors> rosterFromJson(const std::string &Team,
                                                   const std::string &Name,
                                                   uint64_t Version,
                                                   const std::string &Text);

} // namespace dragonflystall

#endif
