// The entries of the IANA registry that upstreams use.
#include "contentformat.h"

#include <array>

namespace dragonflystall {

namespace {

struct Format {
  uint16_t Number;
  std::string_view MediaType;
};

constexpr std::string_view Bytes = "application/octet-stream";

constexpr std::array Formats = {
    Format{0, "text/plain"},
    Format{21, "image/gif"},
    Format{22, "image/jpeg"},
    Format{23, "image/png"},
    Format{40, "application/link-format"},
    Format{41, "application/xml"},
    Format{42, Bytes},
    Format{50, "application/json"},
    Format{60, "application/cbor"},
    Format{30000, "image/svg+xml"},
};

} // namespace

std::optional<uint16_t> contentFormatOf(std::string_view MediaType) {
  // CoAP content formats don't express parameters such as the character set.
  MediaType = MediaType.substr(0, MediaType.find_first_of("; "));
  for (const Format &Entry : Formats)
    if (Entry.MediaType == MediaType)
      return Entry.Number;
  return std::nullopt;
}

std::string_view mediaTypeOf(uint16_t ContentFormat) {
  for (const Format &Entry : Formats)
    if (Entry.Number == ContentFormat)
      return Entry.MediaType;
  return Bytes;
}

} // namespace dragonflystall
