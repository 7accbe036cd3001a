// Conversions between the shared value types and their protobuf forms.
#ifndef DRAGONFLYSTALL_SRC_WIRE_CONVERT_H
#define DRAGONFLYSTALL_SRC_WIRE_CONVERT_H

#include "dragonflystall/roster.h"

#include <control.pb.h>
#include <optional>

namespace dragonflystall::wire {

Address toWire(dragonflystall::Endpoint Value);
Agent toWire(dragonflystall::AgentRef Value);
Flow toWire(const dragonflystall::FlowKey &Value);
RosterEntry toWire(const dragonflystall::RosterEntry &Value);
Roster toWire(const dragonflystall::Roster &Value);

/// std::nullopt when a field is out of its range.
std::optional<dragonflystall::Endpoint> fromWire(const Address &Value);
dragonflystall::AgentRef fromWire(const Agent &Value);
/// The protobuf form of a flow has no service; the enclosing message has it.
std::optional<dragonflystall::FlowKey>
fromWire(const Flow &Value, dragonflystall::ServiceId Service);
std::optional<dragonflystall::RosterEntry> fromWire(const RosterEntry &Value);
/// Sorts the agents by id; std::nullopt when an entry is out of range or an id
/// occurs twice.
std::optional<dragonflystall::Roster> fromWire(const Roster &Value);

} // namespace dragonflystall::wire

#endif
