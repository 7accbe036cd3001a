// Helpers to write JSON text directly, where building a JSON document would be
// too expensive.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_JSONTEXT_H
#define DRAGONFLYSTALL_SRC_OBSERVE_JSONTEXT_H

#include <string>
#include <string_view>

namespace dragonflystall {

/// The text as a quoted and escaped JSON string. Invalid UTF-8 is replaced.
std::string jsonString(std::string_view Text);

} // namespace dragonflystall

#endif
