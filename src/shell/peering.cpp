// Messages from and to peers, and settings from peers and the platform.
#include "peering.h"

namespace dragonflystall {

Peering::Peering(const HostSettings &Host, AgentRef Self, uint64_t Seed,
                 Timeline &SharedTimeline, Listener Observer)
    : Timeline_(SharedTimeline), Observer_(std::move(Observer)),
      Exchange_(View_, Self, Host.Control, Seed),
      Filter_(Host.Peers, Host.Zone) {}

tl::expected<void, std::string> Peering::start(Endpoint Local) {
  auto Bus = ControlBus::bind(Local);
  if (!Bus)
    return tl::unexpected("control port: " + Bus.error());
  Bus_ = std::move(*Bus);
  return {};
}

void Peering::watch(Loop &Events) {
  Events.watch(Bus_->descriptor(), [this] {
    Bus_->receive(
        [this](uint32_t FromIp,
               const std::shared_ptr<const wire::ControlMessage> &Value) {
          receive(FromIp, Value);
        });
  });
}

void Peering::send(Endpoint To, const wire::ControlMessage &Value) {
  if (!Filter_.allows(To.Ip))
    return;
  wire::ControlMessage Stamped = Value;
  Stamped.set_hlc(Timeline_.clock().stamp(Clock_.wallTime()));
  Stamped.set_settings_version(View_.version());
  Bus_->send(To, Stamped);
}

void Peering::receive(
    uint32_t FromIp, const std::shared_ptr<const wire::ControlMessage> &Value) {
  if (!Filter_.allows(FromIp)) {
    ++ForeignMessages_;
    return;
  }
  Timeline_.clock().observe(Value->hlc());
  std::vector<Event> Events;
  const auto Reply = [this](Endpoint To, const wire::ControlMessage &Answer) {
    send(To, Answer);
  };
  if (Exchange_.onPeer(*Value, Reply, Events))
    settingsChanged(Events);
  Observer_.OnMessage(Value);
}

void Peering::merge(const std::vector<StoredObject> &Objects) {
  const SettingsPtr Before = View_.current();
  const std::vector<Event> Events = View_.merge(Objects);
  if (View_.current() != Before)
    settingsChanged(Events);
}

// No packet may be sent to an evacuated zone, so connections into it are closed
// at once.
void Peering::settingsChanged(const std::vector<Event> &Events) {
  for (const Event &Changed : Events)
    Observer_.OnEvent(Changed);
  Filter_.update(View_.current());
  Bus_->closeUnless([this](Endpoint Peer) { return Filter_.allows(Peer.Ip); });
  Observer_.OnSettings(View_.current());
}

void Peering::gossip(const std::vector<Endpoint> &Peers, TimePoint Now) {
  Exchange_.tick(Peers, [this](Endpoint To, const wire::ControlMessage &Value) {
    send(To, Value);
  });
  Bus_->tick(Now);
}

} // namespace dragonflystall
