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

const ServiceSettings *FlowsContext::service() const {
  return Settings ? Settings->service(Service) : nullptr;
}

bool FlowsContext::zoneOut(std::string_view Zone) const {
  return Settings && Settings->zoneOut(Zone);
}

bool FlowsContext::zoneServes(std::string_view Zone) const {
  if (zoneOut(Zone))
    return false;
  const ServiceSettings *S = service();
  return !S || S->Zones.empty() || contains(S->Zones, Zone);
}

bool FlowsContext::trusts(uint32_t Ip) const {
  const ZoneSettings *Zone = Settings ? Settings->zoneOf(Ip) : nullptr;
  return Zone && !Zone->Out;
}

uint32_t FlowsContext::capacity(uint32_t Connections) const {
  const ServiceSettings *S = service();
  return S ? std::min(Connections, S->MaxConnections) : Connections;
}

bool FlowsContext::drained() const {
  const ServiceSettings *S = service();
  return S && (contains(S->Drained, Identity.Self.Name) ||
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

Duration FlowsContext::jitter(Duration Least, Duration Most) {
  const auto Span = static_cast<uint64_t>((Most - Least).count());
  return Least + Duration(Rng() % std::max<uint64_t>(1, Span));
}

void sendPeer(const FlowsContext &Context, Endpoint To, ControlPtr Value,
              FlowsOutput &Out) {
  if (Context.ownZoneOut())
    return;
  Out.Actions.push_back(SendPeer{To, std::move(Value)});
}

} // namespace dragonflystall
