// Sends and answers settings digests, pulls and pushes.
#include "settings/exchange.h"

#include <utility>

namespace dragonflystall {

SettingsExchange::SettingsExchange(SettingsView &View, AgentRef Sender,
                                   Endpoint Self, uint64_t Seed)
    : View_(View), Sender_(Sender), Self_(Self), Random_(Seed) {}

wire::ControlMessage SettingsExchange::envelope() const {
  wire::ControlMessage Message;
  Message.mutable_sender()->set_id(static_cast<uint32_t>(Sender_.Id));
  Message.mutable_sender()->set_incarnation(
      static_cast<uint64_t>(Sender_.Start));
  Message.mutable_reply_to()->set_ip(Self_.Ip);
  Message.mutable_reply_to()->set_port(Self_.Port);
  Message.set_settings_version(View_.version());
  return Message;
}

void SettingsExchange::tick(const std::vector<Endpoint> &Peers,
                            const Sender &Send) {
  const bool VersionChanged =
      std::exchange(LastSpreadVersion_, View_.version()) != View_.version();
  const size_t Count = VersionChanged ? SpreadPeers : 1;
  for (size_t I = 0; I < Count && !Peers.empty(); ++I) {
    const Endpoint To = Peers[Random_() % Peers.size()];
    if (To != Self_)
      sendDigest(To, Send);
  }
}

void SettingsExchange::sendDigest(Endpoint To, const Sender &Send) const {
  wire::ControlMessage Message = envelope();
  *Message.mutable_settings_digest() = View_.digest();
  Send(To, Message);
}

bool SettingsExchange::onPeer(const wire::ControlMessage &Value,
                              const Sender &Send, std::vector<Event> &Events) {
  const Endpoint To{Value.reply_to().ip(),
                    static_cast<uint16_t>(Value.reply_to().port())};
  wire::ControlMessage Reply = envelope();
  if (Value.has_settings_digest()) {
    if (auto Pull = View_.compare(Value.settings_digest())) {
      *Reply.mutable_settings_pull() = *Pull;
      Send(To, Reply);
    } else if (Value.settings_digest().version() < View_.version()) {
      sendDigest(To, Send); // Lets the peer pull now, not after its next tick.
    }
    return false;
  }
  if (Value.has_settings_pull()) {
    if (auto Push = View_.answer(Value.settings_pull())) {
      *Reply.mutable_settings_push() = *Push;
      Send(To, Reply);
    }
    return false;
  }
  if (!Value.has_settings_push())
    return false;
  const SettingsPtr Before = View_.current();
  std::vector<Event> NewEvents = View_.merge(Value.settings_push());
  Events.insert(Events.end(), NewEvents.begin(), NewEvents.end());
  if (auto Pull = View_.next(Value.settings_push())) {
    *Reply.mutable_settings_pull() = *Pull;
    Send(To, Reply);
  }
  return View_.current() != Before;
}

} // namespace dragonflystall
