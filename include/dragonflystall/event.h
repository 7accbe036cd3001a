// What the time line shows: typed events with a hybrid logical clock.
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
};

constexpr std::array<std::string_view, 32> EventKindNames = {
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
    "zone-in"};
constexpr std::string_view name(EventKind K) {
  return EventKindNames[static_cast<size_t>(K)];
}

/// What a core reports. The shell stamps it with the hybrid logical clock.
struct Event {
  EventKind Kind = EventKind::Started;
  FlowKey Flow;                  ///< Default when no flow is concerned.
  AgentId Agent = AgentId::None; ///< The other agent, when one is concerned.
  uint64_t Request = 0;          ///< The request's id, 0 when none.
  uint64_t Value = 0;            ///< Count, version or limit, by kind.
  std::string Detail;            ///< A few words; empty on the hot path.
  friend bool operator==(const Event &, const Event &) = default;
};

} // namespace dragonflystall

#endif
