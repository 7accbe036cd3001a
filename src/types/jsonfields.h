// Reading the fields of a JSON object that another process has written. A field
// that is missing, of another type or out of range throws Json::exception,
// which decode() turns into std::nullopt.
#ifndef DRAGONFLYSTALL_SRC_TYPES_JSONFIELDS_H
#define DRAGONFLYSTALL_SRC_TYPES_JSONFIELDS_H

#include "types/jsoninput.h"

#include <optional>

namespace dragonflystall::jsonfields {

using Json = nlohmann::json;

/// Throws an exception with this text.
[[noreturn]] void reject(const char *Reason);
const std::string &text(const Json &Value, const char *Key);
/// A text of at most MaxNameBytes.
const std::string &shortText(const Json &Value, const char *Key);
int64_t integer(const Json &Value, const char *Key);
/// Any number; the default if there is no such field.
double number(const Json &Value, const char *Key, double Default);
/// A text of the form ADDRESS:PORT.
Endpoint endpoint(const Json &Value, const char *Key);

/// Parses the text and runs a decoder that throws; std::nullopt when either
/// fails.
template <typename Decoder>
auto decode(const std::string &Text, JsonLimits Limits, Decoder Decode)
    -> std::optional<decltype(Decode(Json()))> {
  const auto Value = parseJson(Text, Limits);
  if (!Value)
    return std::nullopt;
  try {
    return Decode(*Value);
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace dragonflystall::jsonfields

#endif
