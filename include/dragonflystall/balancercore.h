// The balancer core's interface. The core decides which agent receives each
// caller's packet and which caller receives each answer. It does no I/O, starts
// no threads and reads no clock.
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

/// A caller's datagram that the fabric has sent to this balancer. Payload must
/// be valid until handle() returns.
struct CallerPacket {
  Endpoint Caller;
  Endpoint ServiceAddress;
  std::string_view Payload;
};

/// A packet from another dragonflystall process, received on the internal
/// port.
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
/// Passed to the core at least every 100 ms.
struct Tick {};

using BalancerEvent = std::variant<CallerPacket, InternalPacket, RosterUpdate,
                                   SettingsUpdate, Tick>;

/// Send header and payload over UDP to an agent. Payload refers to memory of
/// the event that caused the action, or to memory of the core that is valid
/// until its next event.
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
/// Fetch the newest roster of the service: this process has none, or one known
/// to be outdated.
struct FetchRoster {
  ServiceId Service;
  uint64_t KnownVersion;
};

using BalancerAction =
    std::variant<SendPacket, SendToCaller, FetchRoster, Event>;
using BalancerActions = std::vector<BalancerAction>;

} // namespace dragonflystall

#endif
