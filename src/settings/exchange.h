// How settings and rosters pass from peer to peer when the platform can't tell
// them: one digest at a time to a random peer, and pulls of what is newer.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_EXCHANGE_H
#define DRAGONFLYSTALL_SRC_SETTINGS_EXCHANGE_H

#include "dragonflystall/clock.h"
#include "settings/settingsview.h"

#include <functional>
#include <vector>

#include <control.pb.h>

namespace dragonflystall {

/// How many peers hear at once of a version that is new here.
constexpr size_t SpreadPeers = 3;

class SettingsExchange {
public:
  using Sender =
      std::function<void(Endpoint To, const wire::ControlMessage &Value)>;

  /// Self is where peers answer to. View must outlive this.
  SettingsExchange(SettingsView &View, AgentRef Sender, Endpoint Self,
                   uint64_t Seed);

  /// Sends a digest to one of the peers, drawn at random, or to SpreadPeers of
  /// them when the view has changed since the last call.
  void tick(const std::vector<Endpoint> &Peers, const Sender &Send);
  /// Takes the bodies that concern settings; true when the view changed.
  bool onPeer(const wire::ControlMessage &Value, const Sender &Send,
              std::vector<Event> &Events);

private:
  wire::ControlMessage envelope() const;
  void sendDigest(Endpoint To, const Sender &Send) const;

  SettingsView &View_;
  AgentRef Sender_;
  Endpoint Self_;
  Random Random_;
  /// The version that was sent to SpreadPeers.
  uint64_t Spread_ = 0;
};

} // namespace dragonflystall

#endif
