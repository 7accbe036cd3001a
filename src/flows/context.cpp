// Look-ups in the settings and construction of control messages.
#include "context.h"

#include "wire/convert.h"

#include <algorithm>

namespace dragonflystall {

namespace {

bool contains(const std::vector<std::string> &Names, std::string_view Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

FlowsContext::FlowsContext(AgentIdentity Self, uint64_t Seed)
    : Identity(std::move(Self)),
      Service(serviceId(Identity.Team, Identity.Service)), Rng(Seed) {}

const ServiceSettings *FlowsContext::serviceSettings() const {
  return Settings ? Settings->service(Service) : nullptr;
}

bool FlowsContext::isZoneEvacuated(std::string_view Zone) const {
  return Settings && Settings->isZoneEvacuated(Zone);
}

bool FlowsContext::zoneServes(std::string_view Zone) const {
  if (isZoneEvacuated(Zone))
    return false;
  const ServiceSettings *Found = serviceSettings();
  return !Found || Found->Zones.empty() || contains(Found->Zones, Zone);
}

bool FlowsContext::isTrustedSender(uint32_t Ip) const {
  const ZoneSettings *Zone = Settings ? Settings->zoneOf(Ip) : nullptr;
  return Zone && !Zone->Evacuated;
}

uint32_t FlowsContext::capacity(uint32_t Connections) const {
  const ServiceSettings *Found = serviceSettings();
  return Found ? std::min(Connections, Found->MaxConnections) : Connections;
}

uint32_t FlowsContext::slots(uint32_t Slots) const {
  const ServiceSettings *Found = serviceSettings();
  return Found ? std::min(Slots, Found->MaxSlots) : Slots;
}

bool FlowsContext::isDrained() const {
  const ServiceSettings *Found = serviceSettings();
  return Found && (contains(Found->Drained, Identity.Self.Name) ||
                   !zoneServes(Identity.Self.Zone));
}

ControlPtr FlowsContext::newMessage() {
  auto Result = std::make_shared<wire::ControlMessage>();
  *Result->mutable_sender() = wire::toWire(self());
  *Result->mutable_reply_to() = wire::toWire(Identity.Self.Control);
  Result->set_service(static_cast<uint64_t>(Service));
  Result->set_roster_version(RosterVersion);
  Result->set_settings_version(Settings ? Settings->Version : 0);
  Result->set_view(AnnouncedView);
  Result->set_sequence(++LastSequence);
  return Result;
}

Duration FlowsContext::jitter(Duration Min, Duration Max) {
  const auto Span = static_cast<uint64_t>((Max - Min).count());
  return Min + Duration(Rng() % std::max<uint64_t>(1, Span));
}

void sendPeer(const FlowsContext &Context, Endpoint To, ControlPtr Value,
              FlowsOutput &Out) {
  if (Context.ownZoneOut())
    return;
  Out.Actions.push_back(SendPeer{To, std::move(Value)});
}

} // namespace dragonflystall
