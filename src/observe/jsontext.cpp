// Quoting of JSON strings.
#include "observe/jsontext.h"

#include <nlohmann/json.hpp>

namespace dragonflystall {

std::string jsonString(std::string_view Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

} // namespace dragonflystall
