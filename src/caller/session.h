// State shared by all calls of one flow: random tokens, message ids, and the
// tickets received in answers for use by later calls.
#ifndef DRAGONFLYSTALL_SRC_CALLER_SESSION_H
#define DRAGONFLYSTALL_SRC_CALLER_SESSION_H

#include "dragonflystall/clock.h"
#include "dragonflystall/message.h"

#include <deque>
#include <string>

namespace dragonflystall {

/// Unused tickets. Each ticket is removed when it is taken, so that no two
/// calls share a ticket.
class TicketPool {
public:
  void put(std::string Ticket, TimePoint Now);
  /// Removes and returns the newest ticket, unless it may have expired at its
  /// issuer in the meantime.
  std::optional<std::string> take(TimePoint Now);
  /// For use when the issuer may have failed: a call with one of its tickets
  /// could not determine whether it ran.
  void clear() { Tickets_.clear(); }

private:
  struct Entry {
    std::string Ticket;
    TimePoint Received;
  };
  std::deque<Entry> Tickets_;
};

struct Session {
  Session(uint64_t Seed, Duration AckTimeout);

  Token newToken();
  uint16_t newMessageId() { return NextMessageId++; }

  Random Bits;
  Duration AckTimeout;
  uint16_t NextMessageId;
  TicketPool Tickets;
};

} // namespace dragonflystall

#endif
