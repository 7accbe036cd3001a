// Conversion between CoAP content formats and HTTP media types.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_CONTENTFORMAT_H
#define DRAGONFLYSTALL_SRC_REQUESTS_CONTENTFORMAT_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace dragonflystall {

/// The registered number; std::nullopt if CoAP has none for the media type.
std::optional<uint16_t> contentFormatOf(std::string_view MediaType);
/// application/octet-stream for unknown numbers.
std::string_view mediaTypeOf(uint16_t ContentFormat);

} // namespace dragonflystall

#endif
