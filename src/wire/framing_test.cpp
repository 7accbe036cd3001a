// Frames are unchanged by encoding and parsing, and malformed bytes are
// rejected.
#include "framing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflystall::wire {
namespace {

RC_GTEST_PROP(Framing, RoundTrip,
              (uint64_t Service, uint32_t Ip, uint16_t Port, bool Placed,
               const std::string &Payload)) {
  dragonflystall::PacketHeader Header;
  Header.Kind = PacketKind::Reply;
  Header.Service = ServiceId{Service};
  Header.Caller = {Ip, Port};
  Header.Placed = Placed;
  Header.Hops = MaxHops;
  std::string Bytes;
  encodeHeader(Header, Bytes);
  Bytes += Payload;
  auto Parsed = parseFrame(Bytes);
  RC_ASSERT(Parsed.has_value());
  RC_ASSERT(Parsed->Header == Header);
  RC_ASSERT(Parsed->Payload == Payload);
}

TEST(Framing, RefusesTruncatedAndUnknownKinds) {
  EXPECT_EQ(parseFrame("").error(), FrameError::Truncated);
  EXPECT_EQ(parseFrame(std::string_view("\x00\x09xx", 4)).error(),
            FrameError::Truncated);
  EXPECT_EQ(parseFrame(std::string_view("\x00\x02\x08\x7f", 4)).error(),
            FrameError::BadKind);
}

} // namespace
} // namespace dragonflystall::wire
