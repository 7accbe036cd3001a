// Exchange of settings and rosters between peers, for when the platform is not
// reachable: each process sends digests to random peers, and a peer pulls the
// objects that are newer than its own.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_EXCHANGE_H
#define DRAGONFLYSTALL_SRC_SETTINGS_EXCHANGE_H

#include "dragonflystall/clock.h"
#include "settings/settingsview.h"

#include <functional>
#include <vector>

#include <control.pb.h>

namespace dragonflystall {

/// Number of peers that get a digest at once after the local version changed.
constexpr size_t SpreadPeers = 3;

class SettingsExchange {
public:
  using Sender =
      std::function<void(Endpoint To, const wire::ControlMessage &Value)>;

  /// Self is the address to which peers send their answers. View must outlive
  /// this object.
  SettingsExchange(SettingsView &View, AgentRef Sender, Endpoint Self,
                   uint64_t Seed);

  /// Sends a digest to one randomly drawn peer, or to SpreadPeers peers if the
  /// view has changed since the last call.
  void tick(const std::vector<Endpoint> &Peers, const Sender &Send);
  /// Handles settings digests, pulls and pushes from a peer. Returns true if
  /// the view changed.
  bool onPeer(const wire::ControlMessage &Value, const Sender &Send,
              std::vector<Event> &Events);

private:
  wire::ControlMessage envelope() const;
  void sendDigest(Endpoint To, const Sender &Send) const;

  SettingsView &View_;
  AgentRef Sender_;
  Endpoint Self_;
  Random Random_;
  /// The version whose digest was last sent to SpreadPeers peers.
  uint64_t LastSpreadVersion_ = 0;
};

} // namespace dragonflystall

#endif
