// Text forms and hashes of the shared value types.
#include "dragonflystall/types.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace dragonflystall {

namespace {

constexpr uint32_t Ipv4Bits = 32;

std::optional<uint32_t> parseIp(std::string_view Text) {
  in_addr Address{};
  if (inet_pton(AF_INET, std::string(Text).c_str(), &Address) != 1)
    return std::nullopt;
  return ntohl(Address.s_addr);
}

std::optional<uint32_t> parseNumber(std::string_view Text, uint32_t Max) {
  uint32_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End || Text.empty() || Value > Max)
    return std::nullopt;
  return Value;
}

} // namespace

std::string ipText(uint32_t Ip) {
  return fmt::format("{}.{}.{}.{}", Ip >> 24, (Ip >> 16) & 255, (Ip >> 8) & 255,
                     Ip & 255);
}

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  auto Ip = parseIp(Text.substr(0, Colon));
  auto Port = parseNumber(Text.substr(Colon + 1), UINT16_MAX);
  if (!Ip || !Port || *Port == 0)
    return std::nullopt;
  return Endpoint{*Ip, static_cast<uint16_t>(*Port)};
}

std::string toString(Endpoint Address) {
  return fmt::format("{}:{}", ipText(Address.Ip), Address.Port);
}

bool Network::contains(uint32_t Address) const {
  if (PrefixBits == 0)
    return true;
  return ((Ip ^ Address) >> (Ipv4Bits - PrefixBits)) == 0;
}

std::optional<Network> parseNetwork(std::string_view Text) {
  const size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  auto Ip = parseIp(Text.substr(0, Slash));
  auto Bits = parseNumber(Text.substr(Slash + 1), Ipv4Bits);
  if (!Ip || !Bits)
    return std::nullopt;
  return Network{*Ip, static_cast<uint8_t>(*Bits)};
}

std::string toString(Network Net) {
  return fmt::format("{}/{}", ipText(Net.Ip), Net.PrefixBits);
}

ServiceId serviceId(std::string_view Team, std::string_view Name) {
  const std::string Path = fmt::format("{}/{}", Team, Name);
  return ServiceId{XXH3_64bits(Path.data(), Path.size())};
}

AgentId agentId(std::string_view Name) {
  return AgentId{XXH32(Name.data(), Name.size(), 0)};
}

uint64_t hashFlow(const FlowKey &Flow) {
  const std::array<uint64_t, 2> Words = {static_cast<uint64_t>(Flow.Service),
                                         (uint64_t{Flow.Caller.Ip} << 16) |
                                             Flow.Caller.Port};
  return XXH3_64bits(Words.data(), sizeof(Words));
}

} // namespace dragonflystall
