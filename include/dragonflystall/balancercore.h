// The balancer's decisions: for each caller's packet, which agent gets it, and
// for each answer, which caller. No I/O, no threads, no clock of its own.
#ifndef DRAGONFLYSTALL_BALANCERCORE_H
#define DRAGONFLYSTALL_BALANCERCORE_H

#include "dragonflystall/clock.h"
#include "dragonflystall/event.h"
#include "dragonflystall/packet.h"
#include "dragonflystall/roster.h"
#include "dragonflystall/settings.h"

#include <string_view>
#include <variant>
#include <vector>

namespace dragonflystall {

/// A caller's datagram that the fabric handed to this balancer. Payload is
/// borrowed for the duration of handle().
struct CallerPacket {
  Endpoint Caller;
  Endpoint ServiceAddress;
  std::string_view Payload;
};

/// A packet of ours that came in on the internal port.
struct InternalPacket {
  Endpoint From;
  PacketHeader Header;
  std::string_view Payload;
};

struct RosterUpdate {
  Roster Value;
};
struct SettingsUpdate {
  SettingsPtr Value;
};
/// Comes at least every 100 ms.
struct Tick {};

using BalancerEvent = std::variant<CallerPacket, InternalPacket, RosterUpdate,
                                   SettingsUpdate, Tick>;

/// Send header and payload over UDP to an agent. Payload is borrowed from the
/// event that caused it, or from the core until its next event.
struct SendPacket {
  Endpoint To;
  PacketHeader Header;
  std::string_view Payload;
};
/// Send the payload to the caller, with the service's address as source.
struct SendToCaller {
  Endpoint Caller;
  Endpoint ServiceAddress;
  std::string_view Payload;
};
/// Fetch the newest roster: it is unknown here or known to be older.
struct WantRoster {
  ServiceId Service;
  uint64_t KnownVersion;
};

using BalancerAction =
    std::variant<SendPacket, SendToCaller, WantRoster, Event>;
using BalancerActions = std::vector<BalancerAction>;

} // namespace dragonflystall

#endif
