// One-time tickets: what they say and how they are sealed. A ticket is good
// for one non-idempotent request of one flow. Its issuer keeps nothing until
// it is used.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TICKET_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TICKET_H

#include "dragonflystall/types.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystall {

/// What the ticket says, readable by anyone.
struct Ticket {
  AgentRef Issuer;
  uint64_t Counter = 0;  ///< Unique within the issuer's incarnation; 48 bits.
  uint64_t ExpiryMs = 0; ///< On the issuer's monotonic clock; 48 bits.
  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// Seals and checks the tickets of one flow only, so that a hand-over gives
/// away no other flow's.
using FlowTicketKey = std::array<uint8_t, 32>;
/// The secret of one incarnation.
using TicketSecret = std::array<uint8_t, 32>;

/// The Echo option has room for 40 bytes (RFC 9175).
constexpr size_t TicketBytes = 40;

/// The secret that follows from a core's seed.
TicketSecret ticketSecret(uint64_t Seed);
FlowTicketKey flowTicketKey(const TicketSecret &Secret, const FlowKey &Flow);
std::string sealTicket(const Ticket &Value, const FlowTicketKey &Key);
/// What the bytes say, not yet checked.
std::optional<Ticket> readTicket(std::string_view Bytes);
/// Whether the holder of the flow's key sealed exactly these bytes.
bool checkTicket(std::string_view Bytes, const FlowTicketKey &Key);

} // namespace dragonflystall

#endif
