// The ticket's layout, big endian: agent id (4), incarnation (8), counter (6),
// expiry (6), MAC (16, keyed BLAKE2b over the 24 bytes before it).
#include "ticket.h"

#include <cstring>
#include <sodium.h>

namespace dragonflystall {

namespace {

constexpr size_t PayloadBytes = 24;
constexpr size_t MacBytes = 16;
static_assert(PayloadBytes + MacBytes == TicketBytes);
static_assert(MacBytes >= crypto_generichash_BYTES_MIN);

void put(uint8_t *&Cursor, uint64_t Value, size_t Bytes) {
  for (size_t I = Bytes; I-- > 0;)
    *Cursor++ = static_cast<uint8_t>(Value >> (8 * I));
}

uint64_t get(const uint8_t *&Cursor, size_t Bytes) {
  uint64_t Value = 0;
  for (size_t I = 0; I < Bytes; ++I)
    Value = (Value << 8) | *Cursor++;
  return Value;
}

using Mac = std::array<uint8_t, MacBytes>;

Mac macOf(const uint8_t *Payload, const FlowTicketKey &Key) {
  Mac Result;
  crypto_generichash(Result.data(), Result.size(), Payload, PayloadBytes,
                     Key.data(), Key.size());
  return Result;
}

} // namespace

TicketSecret ticketSecret(uint64_t Seed) {
  uint8_t Bytes[sizeof(Seed)];
  uint8_t *Cursor = Bytes;
  put(Cursor, Seed, sizeof(Seed));
  TicketSecret Secret;
  crypto_generichash(Secret.data(), Secret.size(), Bytes, sizeof(Bytes),
                     nullptr, 0);
  return Secret;
}

FlowTicketKey flowTicketKey(const TicketSecret &Secret, const FlowKey &Flow) {
  uint8_t Bytes[14];
  uint8_t *Cursor = Bytes;
  put(Cursor, static_cast<uint64_t>(Flow.Service), 8);
  put(Cursor, Flow.Caller.Ip, 4);
  put(Cursor, Flow.Caller.Port, 2);
  FlowTicketKey Key;
  crypto_generichash(Key.data(), Key.size(), Bytes, sizeof(Bytes),
                     Secret.data(), Secret.size());
  return Key;
}

std::string sealTicket(const Ticket &Value, const FlowTicketKey &Key) {
  std::string Bytes(TicketBytes, '\0');
  auto *const Start = reinterpret_cast<uint8_t *>(Bytes.data());
  uint8_t *Cursor = Start;
  put(Cursor, static_cast<uint32_t>(Value.Issuer.Id), 4);
  put(Cursor, static_cast<uint64_t>(Value.Issuer.Start), 8);
  put(Cursor, Value.Counter, 6);
  put(Cursor, Value.ExpiryMs, 6);
  const Mac Tag = macOf(Start, Key);
  std::memcpy(Cursor, Tag.data(), Tag.size());
  return Bytes;
}

std::optional<Ticket> decodeTicket(std::string_view Bytes) {
  if (Bytes.size() != TicketBytes)
    return std::nullopt;
  const auto *Cursor = reinterpret_cast<const uint8_t *>(Bytes.data());
  Ticket Value;
  Value.Issuer.Id = static_cast<AgentId>(get(Cursor, 4));
  Value.Issuer.Start = static_cast<Incarnation>(get(Cursor, 8));
  Value.Counter = get(Cursor, 6);
  Value.ExpiryMs = get(Cursor, 6);
  return Value;
}

bool verifyTicket(std::string_view Bytes, const FlowTicketKey &Key) {
  if (Bytes.size() != TicketBytes)
    return false;
  const auto *Payload = reinterpret_cast<const uint8_t *>(Bytes.data());
  const Mac Expected = macOf(Payload, Key);
  return sodium_memcmp(Expected.data(), Payload + PayloadBytes, MacBytes) == 0;
}

} // namespace dragonflystall
