// Tokens, message ids and the pool of tickets.
#include "caller/session.h"

namespace dragonflystall {

namespace {

constexpr size_t TokenBytes = 8;
constexpr size_t MaxTickets = 4;
/// Short, because a call with a ticket whose issuer has failed in the meantime
/// can only end as may-have-run, while a new ticket costs one round trip.
constexpr Duration MaxTicketAge = 2s;

} // namespace

void TicketPool::put(std::string Ticket, TimePoint Now) {
  Tickets_.push_back({std::move(Ticket), Now});
  if (Tickets_.size() > MaxTickets)
    Tickets_.pop_front();
}

std::optional<std::string> TicketPool::take(TimePoint Now) {
  if (Tickets_.empty())
    return std::nullopt;
  Entry Newest = std::move(Tickets_.back());
  Tickets_.pop_back();
  if (Now - Newest.Received > MaxTicketAge) {
    clear();
    return std::nullopt;
  }
  return std::move(Newest.Ticket);
}

Session::Session(uint64_t Seed, Duration AckTimeout)
    : Bits(Seed), AckTimeout(AckTimeout),
      NextMessageId(static_cast<uint16_t>(Bits())) {}

/// Random, so that an answer to an earlier process at the same address and port
/// is not mistaken for an answer to this process.
Token Session::newToken() {
  const uint64_t Value = Bits();
  Token Result;
  for (size_t I = 0; I < TokenBytes; ++I)
    Result += static_cast<char>(Value >> (8 * I));
  return Result;
}

} // namespace dragonflystall
