// Events of the time line. Each event has a type and is stamped with a hybrid
// logical clock.
#ifndef DRAGONFLYSTALL_EVENT_H
#define DRAGONFLYSTALL_EVENT_H

#include "dragonflystall/types.h"

#include <array>
#include <string>
#include <string_view>

namespace dragonflystall {

enum class EventKind : uint8_t {
  Started,
  Stopping,
  SettingsInForce,
  SettingsRefused,
  RosterInForce,
  RosterWritten,
  AgentSuspected,
  AgentTrusted,
  AgentRemoved,
  FlowPlaced,
  FlowAccepted,
  FlowRefused,
  FlowHandedOver,
  FlowTakenOver,
  FlowGivenUp,
  FlowForwarded,
  PacketDropped,
  RequestStarted,
  RequestFinished,
  RequestRefused,
  RequestSpilled,
  RequestCancelled,
  TicketIssued,
  TicketBurnt,
  DuplicateAnswered,
  LimitChanged,
  UpstreamCold,
  PathReplaced,
  PlatformLost,
  PlatformBack,
  ZoneOut,
  ZoneIn,
  RequestHedged,
};

constexpr std::array<std::string_view, 33> EventKindNames = {
    "started",
    "stopping",
    "settings-in-force",
    "settings-refused",
    "roster-in-force",
    "roster-written",
    "agent-suspected",
    "agent-trusted",
    "agent-removed",
    "flow-placed",
    "flow-accepted",
    "flow-refused",
    "flow-handed-over",
    "flow-taken-over",
    "flow-given-up",
    "flow-forwarded",
    "packet-dropped",
    "request-started",
    "request-finished",
    "request-refused",
    "request-spilled",
    "request-cancelled",
    "ticket-issued",
    "ticket-burnt",
    "duplicate-answered",
    "limit-changed",
    "upstream-cold",
    "path-replaced",
    "platform-lost",
    "platform-back",
    "zone-out",
    "zone-in",
    "request-hedged"};
constexpr std::string_view name(EventKind Kind) {
  return EventKindNames[static_cast<size_t>(Kind)];
}

/// An event that a core reports. The shell adds the time stamp of the hybrid
/// logical clock.
struct Event {
  EventKind Kind = EventKind::Started;
  FlowKey Flow;                  ///< Default when the event has no flow.
  AgentId Agent = AgentId::None; ///< The other agent, None without one.
  uint64_t Request = 0;          ///< The request's id, 0 without one.
  uint64_t Value = 0;            ///< A count, version or limit, by Kind.
  std::string Detail;            ///< Short text; empty on the hot path.
  friend bool operator==(const Event &, const Event &) = default;
};

} // namespace dragonflystall

#endif
