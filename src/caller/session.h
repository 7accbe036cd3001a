// What all calls of one flow share: random tokens, message ids, and the
// tickets that answers brought along for the next call.
#ifndef DRAGONFLYSTALL_SRC_CALLER_SESSION_H
#define DRAGONFLYSTALL_SRC_CALLER_SESSION_H

#include "dragonflystall/clock.h"
#include "dragonflystall/message.h"

#include <deque>
#include <string>

namespace dragonflystall {

/// Tickets at hand. Each leaves the pool once, so no two calls share one.
class TicketPool {
public:
  void put(std::string Ticket, TimePoint Now);
  /// The freshest ticket, unless it may have expired at its issuer meanwhile.
  std::optional<std::string> take(TimePoint Now);
  /// The issuer may be gone: a call with one of its tickets could never tell
  /// whether it ran.
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
