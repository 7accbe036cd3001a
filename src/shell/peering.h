// What both daemons share towards their peers: the control bus, the settings
// that pass over it, and the check of who may talk. Loop thread only.
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

/// How often a daemon's core is told the time.
constexpr Duration TickPeriod = 50ms;
/// How often a daemon tells peers how new its settings are.
constexpr Duration GossipPeriod = 1s;
/// Events that a daemon's time line keeps.
constexpr size_t TimelineCapacity = 8192;

class Peering {
public:
  struct Listener {
    /// The settings in force have changed.
    std::function<void(const SettingsPtr &)> OnSettings;
    std::function<void(const Event &)> OnEvent;
    /// A peer's message, once its sender and its clock were looked at. Those
    /// about settings come too, after they were dealt with.
    std::function<void(const std::shared_ptr<const wire::ControlMessage> &)>
        OnMessage;
  };

  /// Times must outlive this.
  Peering(const HostSettings &Host, AgentRef Self, uint64_t Seed,
          Timeline &Times, Listener Owner);

  tl::expected<void, std::string> start(Endpoint Local);
  void watch(Loop &Events);

  /// Stamps the message; one to a peer that may not be talked to is dropped.
  void send(Endpoint To, const wire::ControlMessage &Value);
  bool allows(uint32_t Ip) const { return Filter_.allows(Ip); }
  /// Objects that the platform told of.
  void merge(const std::vector<StoredObject> &Objects);
  /// Tells some of the peers how new the own settings are.
  void gossip(const std::vector<Endpoint> &Peers, TimePoint Now);

  const SettingsView &view() const { return View_; }
  const ControlBus &bus() const { return *Bus_; }
  /// Messages from addresses outside the zones' networks.
  uint64_t foreign() const { return Foreign_; }

private:
  void receive(uint32_t FromIp,
               const std::shared_ptr<const wire::ControlMessage> &Value);
  void settingsChanged(const std::vector<Event> &Events);

  SystemClock Clock_;
  Timeline &Times_;
  Listener Owner_;
  SettingsView View_;
  SettingsExchange Exchange_;
  PeerFilter Filter_;
  uint64_t Foreign_ = 0;
  std::unique_ptr<ControlBus> Bus_; ///< Set by start().
};

} // namespace dragonflystall

#endif
