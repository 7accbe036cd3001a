// Frames on the internal UDP port: two bytes of header length (big endian), the
// protobuf header, then the caller's datagram unchanged.
#ifndef DRAGONFLYSTALL_SRC_WIRE_FRAMING_H
#define DRAGONFLYSTALL_SRC_WIRE_FRAMING_H

#include "dragonflystall/packet.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dragonflystall::wire {

enum class FrameError : uint8_t { Truncated, BadHeader, BadKind };

constexpr std::array<std::string_view, 3> FrameErrorNames = {
    "truncated", "bad-header", "bad-kind"};
constexpr std::string_view name(FrameError E) {
  return FrameErrorNames[static_cast<size_t>(E)];
}

struct Frame {
  dragonflystall::PacketHeader Header;
  std::string_view Payload; ///< Points into the parsed bytes.
};

tl::expected<Frame, FrameError> parseFrame(std::string_view Bytes);

/// Replaces the contents of Out by the length and the header of a frame. The
/// payload is to be sent directly after it.
void encodeHeader(const dragonflystall::PacketHeader &Header, std::string &Out);

} // namespace dragonflystall::wire

#endif
