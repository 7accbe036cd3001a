// Communication with peers, used by the agent and the balancer: the control
// bus, the exchange of settings over it, and the filter of permitted peer
// addresses. Loop thread only.
#ifndef DRAGONFLYSTALL_SRC_SHELL_PEERING_H
#define DRAGONFLYSTALL_SRC_SHELL_PEERING_H

#include "observe/timeline.h"
#include "settings/exchange.h"
#include "settings/hostsettings.h"
#include "settings/peerfilter.h"
#include "shell/controlbus.h"
#include "shell/loop.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dragonflystall {

/// Interval between ticks of a daemon's core.
constexpr Duration TickPeriod = 50ms;
/// Interval between a daemon's settings digests to its peers.
constexpr Duration GossipPeriod = 1s;
/// Capacity of a daemon's timeline, in events.
constexpr size_t TimelineCapacity = 8192;

class Peering {
public:
  struct Listener {
    /// Called when the settings in force have changed.
    std::function<void(const SettingsPtr &)> OnSettings;
    std::function<void(const Event &)> OnEvent;
    /// Called for each message of a permitted peer, after its clock value was
    /// observed. Settings messages are passed on too, after they were applied.
    std::function<void(const std::shared_ptr<const wire::ControlMessage> &)>
        OnMessage;
  };

  /// SharedTimeline must outlive this.
  Peering(const HostSettings &Host, AgentRef Self, uint64_t Seed,
          Timeline &SharedTimeline, Listener Observer);

  tl::expected<void, std::string> start(Endpoint Local);
  void watch(Loop &Events);

  /// Adds the clock value and settings version to the message and sends it.
  /// Drops messages to addresses that the peer filter rejects.
  void send(Endpoint To, const wire::ControlMessage &Value);
  bool allows(uint32_t Ip) const { return Filter_.allows(Ip); }
  /// Merges settings objects received from the platform.
  void merge(const std::vector<StoredObject> &Objects);
  /// Sends the digest of the local settings to some of the peers, and closes
  /// idle connections.
  void gossip(const std::vector<Endpoint> &Peers, TimePoint Now);

  const SettingsView &view() const { return View_; }
  const ControlBus &bus() const { return *Bus_; }
  /// Messages from addresses outside the zones' networks.
  uint64_t foreignMessages() const { return ForeignMessages_; }

private:
  void receive(uint32_t FromIp,
               const std::shared_ptr<const wire::ControlMessage> &Value);
  void settingsChanged(const std::vector<Event> &Events);

  SystemClock Clock_;
  Timeline &Timeline_;
  Listener Observer_;
  SettingsView View_;
  SettingsExchange Exchange_;
  PeerFilter Filter_;
  uint64_t ForeignMessages_ = 0;
  std::unique_ptr<ControlBus> Bus_; ///< Set by start().
};

} // namespace dragonflystall

#endif
