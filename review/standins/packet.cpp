// Layout of a packet's head: little-endian, 31 bytes, then the payload.
#include "packet.h"

#include <cstring>

namespace review {

namespace {

constexpr size_t HeadBytes = 31;
constexpr uint64_t FnvOffset = 14695981039346656037u;
constexpr uint64_t FnvPrime = 1099511628211u;

class Fnv {
public:
  template <typename T> Fnv &add(T Value) {
    std::array<unsigned char, sizeof(T)> Bytes;
    std::memcpy(Bytes.data(), &Value, sizeof(T));
    for (unsigned char Byte : Bytes)
      State_ = (State_ ^ Byte) * FnvPrime;
    return *this;
  }
  Fnv &add(const std::string &Text) {
    for (char C : Text)
      add(C);
    return *this;
  }
  uint64_t value() const { return State_; }

private:
  uint64_t State_ = FnvOffset;
};

/// Over all fields but echo and the bounced flag. Never 0, which stands for a
/// reset of the system's own.
uint32_t sumOf(const Packet &P) {
  const auto Flags = static_cast<uint8_t>(P.Flags & ~Packet::Bounced);
  const uint64_t Hash = Fnv()
                            .add(P.Source.Ip)
                            .add(P.Source.Port)
                            .add(P.Destination.Ip)
                            .add(P.Destination.Port)
                            .add(Flags)
                            .add(P.Sequence)
                            .add(P.Acknowledged)
                            .add(P.Payload)
                            .value();
  const auto Sum = static_cast<uint32_t>(Hash ^ Hash >> 32);
  return Sum ? Sum : 1;
}

template <typename T> void append(std::string &Bytes, T Value) {
  Bytes.append(reinterpret_cast<const char *>(&Value), sizeof Value);
}

template <typename T> T take(std::string_view &Bytes) {
  T Value;
  std::memcpy(&Value, Bytes.data(), sizeof Value);
  Bytes.remove_prefix(sizeof Value);
  return Value;
}

} // namespace

std::string toString(const Flow &F) {
  return toString(F.Client) + ">" + toString(F.Route);
}

uint64_t hashOf(const Flow &F) {
  return Fnv()
      .add(F.Client.Ip)
      .add(F.Client.Port)
      .add(F.Route.Ip)
      .add(F.Route.Port)
      .value();
}

std::string encode(const Packet &P) {
  std::string Bytes;
  append(Bytes, static_cast<uint16_t>(P.Payload.size()));
  append(Bytes, P.Destination.Port);
  append(Bytes, P.Source.Ip);
  append(Bytes, P.Source.Port);
  append(Bytes, P.Destination.Ip);
  append(Bytes, sumOf(P));
  append(Bytes, P.Flags);
  append(Bytes, P.Echo);
  append(Bytes, P.Sequence);
  append(Bytes, P.Acknowledged);
  return Bytes + P.Payload;
}

std::optional<Packet> decode(std::string_view Bytes) {
  if (Bytes.size() < HeadBytes)
    return std::nullopt;
  Packet P;
  const auto Length = take<uint16_t>(Bytes);
  P.Destination.Port = take<uint16_t>(Bytes);
  P.Source.Ip = take<uint32_t>(Bytes);
  P.Source.Port = take<uint16_t>(Bytes);
  P.Destination.Ip = take<uint32_t>(Bytes);
  P.Sum = take<uint32_t>(Bytes);
  P.Flags = take<uint8_t>(Bytes);
  P.Echo = take<uint32_t>(Bytes);
  P.Sequence = take<uint32_t>(Bytes);
  P.Acknowledged = take<uint32_t>(Bytes);
  if (Bytes.size() != Length)
    return std::nullopt;
  P.Payload = Bytes;
  return P;
}

bool isIntact(const Packet &P) { return P.Sum == sumOf(P); }

bool isOwnReset(const Packet &P) {
  return P.has(Packet::Reset) && P.Sum == 0 && P.Payload.empty();
}

} // namespace review
