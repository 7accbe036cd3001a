// Messages are unchanged by encoding and decoding, and arbitrary bytes are
// either rejected or decoded to a message that can be encoded again.
#include "coap.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflystall::wire {
namespace {

TEST(Coap, EveryFieldIsUnchangedByTheRoundTrip) {
  Message Request;
  Request.Kind = Code::Post;
  Request.MessageId = 0xbeef;
  Request.Token = std::string("\x01\x00\xff", 3);
  Request.Path = "/tags/a%2Fb";
  Request.Query = "key=1&x=%26";
  Request.Echo = std::string(40, 'e');
  Request.RequestTag = "t";
  Request.Block1 = Block{3, true, 512};
  Request.Block2 = Block{0, false, 1024};
  Request.Etag = "tag";
  Request.ContentFormat = 50;
  Request.Size2 = 1 << 20;
  Request.MaxAge = 2s;
  Request.Timeout = 1500ms;
  Request.Verdict = Verdict::MayHaveRun;
  Request.Cancel = true;
  Request.Payload = std::string(1024, 'p');
  const auto Decoded = decodeCoap(encodeCoap(Request));
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_EQ(*Decoded, Request);
}

TEST(Coap, RejectsUnsupportedCriticalOptionsAndReservedValues) {
  EXPECT_EQ(decodeCoap("").error(), CoapError::Malformed);
  EXPECT_EQ(decodeCoap("abc").error(), CoapError::Malformed);
  EXPECT_EQ(decodeCoap(std::string(MaxCoapBytes + 1, '\x40')).error(),
            CoapError::TooLarge);
  // A GET with If-None-Match (5): a critical option that is not supported.
  const std::string Conditional("\x40\x01\x00\x01\x50", 5);
  EXPECT_EQ(decodeCoap(Conditional).error(), CoapError::UnknownCriticalOption);
  // A Block2 option with the reserved size exponent 7.
  const std::string Reserved("\x40\x01\x00\x01\xd1\x0a\x07", 7);
  EXPECT_EQ(decodeCoap(Reserved).error(), CoapError::Malformed);
}

TEST(Coap, AcceptsAnEmptyAcknowledgementFollowedByOptions) {
  const std::string WithEcho("\x60\x00\x5a\x85\xdd\xef\x1b tickets", 14);
  const auto Decoded = decodeCoap(WithEcho);
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_EQ(Decoded->Type, MessageType::Acknowledgement);
  EXPECT_EQ(Decoded->MessageId, 0x5a85);
}

TEST(Coap, EmptySegmentsKeepTheirPosition) {
  Message Request;
  Request.Kind = Code::Get;
  for (const char *Path : {"", "/a/", "//", "/a//b"}) {
    Request.Path = Path;
    Request.Query = "k=1&l";
    EXPECT_EQ(decodeCoap(encodeCoap(Request)), Request) << Path;
  }
  Request.Path = "/";
  EXPECT_EQ(decodeCoap(encodeCoap(Request))->Path, "");
}

/// Datagrams that resemble valid messages; all must be rejected.
constexpr std::array<std::string_view, 6> AlmostValid = {
    std::string_view("\x40\x01\x00\x01\xff", 5),       // marker, no payload
    std::string_view("\x49\x01\x00\x01tokentoke", 13), // token too long
    std::string_view("\x40\x01\x00\x01\xf0", 5),       // reserved delta
    std::string_view("\x40\x01\x00\x01\xbd\xff", 6),   // option cut off
    std::string_view("\x40\x00\x00\x01\xb1x", 6),      // empty with option
    std::string_view("\xc0\x01\x00\x01", 4),           // another version
};

TEST(Coap, RejectsAlmostValidDatagrams) {
  for (const std::string_view Datagram : AlmostValid)
    EXPECT_FALSE(decodeCoap(Datagram).has_value()) << Datagram.size();
}

RC_GTEST_PROP(Coap, DecodedBytesCanBeEncodedAgain,
              (std::string Bytes, uint8_t First, uint8_t Kind)) {
  // Half of the inputs get a valid first byte, so that they pass the header
  // check.
  if (Bytes.size() > 4 && (First & 1) != 0) {
    Bytes[0] = static_cast<char>(0x40 | (First & 0x32));
    Bytes[1] = static_cast<char>(Kind);
  }
  const auto Once = decodeCoap(Bytes);
  if (!Once)
    return;
  const auto Twice = decodeCoap(encodeCoap(*Once));
  RC_ASSERT(Twice.has_value());
  RC_ASSERT(*Twice == *Once);
}

} // namespace
} // namespace dragonflystall::wire
