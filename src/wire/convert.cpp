// Field-by-field conversions, with range checks for received values.
#include "convert.h"

namespace dragonflystall::wire {

namespace ds = dragonflystall;

Address toWire(ds::Endpoint Value) {
  Address Result;
  Result.set_ip(Value.Ip);
  Result.set_port(Value.Port);
  return Result;
}

Agent toWire(ds::AgentRef Value) {
  Agent Result;
  Result.set_id(static_cast<uint32_t>(Value.Id));
  Result.set_incarnation(static_cast<uint64_t>(Value.Start));
  return Result;
}

Flow toWire(const ds::FlowKey &Value) {
  Flow Result;
  Result.set_caller_ip(Value.Caller.Ip);
  Result.set_caller_port(Value.Caller.Port);
  return Result;
}

RosterEntry toWire(const ds::RosterEntry &Value) {
  RosterEntry Result;
  *Result.mutable_agent() = toWire(Value.Agent);
  Result.set_name(Value.Name);
  Result.set_zone(Value.Zone);
  *Result.mutable_data() = toWire(Value.Data);
  *Result.mutable_control() = toWire(Value.Control);
  Result.set_phase(static_cast<uint32_t>(Value.Phase));
  Result.set_slots(Value.Slots);
  Result.set_connections(Value.Connections);
  return Result;
}

Roster toWire(const ds::Roster &Value) {
  Roster Result;
  Result.set_service(static_cast<uint64_t>(Value.Service));
  Result.set_team(Value.Team);
  Result.set_name(Value.Name);
  Result.set_version(Value.Version);
  for (const ds::RosterEntry &Entry : Value.Agents)
    *Result.add_agents() = toWire(Entry);
  return Result;
}

std::optional<ds::Endpoint> fromWire(const Address &Value) {
  if (Value.port() > UINT16_MAX)
    return std::nullopt;
  return ds::Endpoint{Value.ip(), static_cast<uint16_t>(Value.port())};
}

ds::AgentRef fromWire(const Agent &Value) {
  return {ds::AgentId{Value.id()}, ds::Incarnation{Value.incarnation()}};
}

std::optional<ds::FlowKey> fromWire(const Flow &Value, ds::ServiceId Service) {
  if (Value.caller_port() > UINT16_MAX)
    return std::nullopt;
  const auto Port = static_cast<uint16_t>(Value.caller_port());
  return ds::FlowKey{Service, {Value.caller_ip(), Port}};
}

std::optional<ds::RosterEntry> fromWire(const RosterEntry &Value) {
  const auto Data = fromWire(Value.data());
  const auto Control = fromWire(Value.control());
  if (!Data || !Control || Value.phase() >= ds::AgentPhaseNames.size())
    return std::nullopt;
  ds::RosterEntry Result;
  Result.Agent = fromWire(Value.agent());
  Result.Name = Value.name();
  Result.Zone = Value.zone();
  Result.Data = *Data;
  Result.Control = *Control;
  Result.Phase = static_cast<ds::AgentPhase>(Value.phase());
  Result.Slots = Value.slots();
  Result.Connections = Value.connections();
  return Result;
}

std::optional<ds::Roster> fromWire(const Roster &Value) {
  ds::Roster Result;
  Result.Service = ds::ServiceId{Value.service()};
  Result.Team = Value.team();
  Result.Name = Value.name();
  Result.Version = Value.version();
  for (const RosterEntry &Entry : Value.agents()) {
    auto Converted = fromWire(Entry);
    if (!Converted || Result.find(Converted->Agent.Id))
      return std::nullopt;
    upsert(Result, std::move(*Converted));
  }
  return Result;
}

} // namespace dragonflystall::wire
