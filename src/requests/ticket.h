// One-time tickets: their fields and their authentication. A ticket is valid
// for one non-idempotent request of one flow. The issuer stores nothing about
// it until it is used.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TICKET_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TICKET_H

#include "dragonflystall/types.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystall {

/// The fields of a ticket. They are authenticated, not encrypted.
struct Ticket {
  AgentRef Issuer;
  uint64_t Counter = 0;  ///< Unique within the issuer's incarnation; 48 bits.
  uint64_t ExpiryMs = 0; ///< On the issuer's monotonic clock; 48 bits.
  friend bool operator==(const Ticket &, const Ticket &) = default;
};

/// Authenticates the tickets of one flow only, so that a hand-over of the flow
/// does not disclose the key of any other flow.
using FlowTicketKey = std::array<uint8_t, 32>;
/// The secret of one incarnation, from which its flow keys are derived.
using TicketSecret = std::array<uint8_t, 32>;

/// The Echo option has room for 40 bytes (RFC 9175).
constexpr size_t TicketBytes = 40;

/// Derives the secret from the seed of the agent's core.
TicketSecret ticketSecret(uint64_t Seed);
FlowTicketKey flowTicketKey(const TicketSecret &Secret, const FlowKey &Flow);
std::string sealTicket(const Ticket &Value, const FlowTicketKey &Key);
/// Decodes the fields without checking the MAC; std::nullopt if the size is
/// wrong.
std::optional<Ticket> decodeTicket(std::string_view Bytes);
/// Whether the MAC is valid under the flow's key.
bool verifyTicket(std::string_view Bytes, const FlowTicketKey &Key);

} // namespace dragonflystall

#endif
