// PROXY headers are unchanged by encoding and parsing, and malformed input is
// rejected.
#include "wire/proxy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflystall::wire {
namespace {

const Endpoint Caller{0x7f000001, 40000};
const Endpoint Service{0x7f016401, 5683};

RC_GTEST_PROP(Proxy, RoundTrips,
              (uint32_t Ip, uint16_t Port, const std::string &Payload)) {
  const ProxyHeader Header = encodeProxy({Ip, Port}, Service);
  const std::string Bytes = std::string(view(Header)) + Payload;
  const auto Parsed = parseProxy(Bytes);
  RC_ASSERT(Parsed.has_value());
  RC_ASSERT(Parsed->Source == (Endpoint{Ip, Port}));
  RC_ASSERT(Parsed->Destination == Service);
  RC_ASSERT(Parsed->Payload == Payload);
}

RC_GTEST_PROP(Proxy, AcceptsOnlyCompleteHeaders, (const std::string &Noise)) {
  RC_ASSERT(!parseProxy(Noise));
  const ProxyHeader Header = encodeProxy(Caller, Service);
  for (size_t Size = 0; Size < Header.size(); ++Size)
    RC_ASSERT(!parseProxy(view(Header).substr(0, Size)));
}

TEST(Proxy, SkipsExtensionsAndRefusesOtherFamilies) {
  ProxyHeader Header = encodeProxy(Caller, Service);
  constexpr size_t FamilyOffset = 13;
  constexpr size_t LengthOffset = 15;
  Header[LengthOffset] += 3;
  const std::string Bytes = std::string(view(Header)) + "tlvrest";
  const auto Parsed = parseProxy(Bytes);
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(Parsed->Payload, "rest");
  Header[FamilyOffset] = 0x11; // TCP
  EXPECT_FALSE(parseProxy(std::string(view(Header)) + "tlvrest"));
}

} // namespace
} // namespace dragonflystall::wire
