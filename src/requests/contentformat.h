// CoAP content formats and HTTP media types, both ways.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_CONTENTFORMAT_H
#define DRAGONFLYSTALL_SRC_REQUESTS_CONTENTFORMAT_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace dragonflystall {

/// The registered number; std::nullopt for a type that CoAP has none for.
std::optional<uint16_t> contentFormatOf(std::string_view MediaType);
/// Unknown numbers are sent as plain bytes.
std::string_view mediaTypeOf(uint16_t ContentFormat);

} // namespace dragonflystall

#endif
