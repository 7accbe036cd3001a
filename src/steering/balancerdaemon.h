// The balancer's shell: its control side, the platform and the clock round the
// forwarding path. All state belongs to the loop's thread.
#ifndef DRAGONFLYSTALL_SRC_STEERING_BALANCERDAEMON_H
#define DRAGONFLYSTALL_SRC_STEERING_BALANCERDAEMON_H

#include "objectstore/link.h"
#include "observe/admin.h"
#include "observe/timeline.h"
#include "settings/hostsettings.h"
#include "shell/loop.h"
#include "shell/peering.h"
#include "steering/balancerstatus.h"
#include "steering/forwarder.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace dragonflystall {

class BalancerDaemon {
public:
  explicit BalancerDaemon(const HostSettings &Host);
  ~BalancerDaemon();

  /// Binds the sockets and connects; the error names what failed.
  tl::expected<void, std::string> start();
  /// Returns when a graceful shutdown is complete.
  void run();

private:
  tl::expected<void, std::string> openForwarder();
  tl::expected<void, std::string> startAdmin();
  void startPlatform();

  void onWantRoster(const WantRoster &Wanted);
  Peering::Listener peerListener();
  void onControl(const wire::ControlMessage &Value);
  void onRosterPull(const wire::ControlMessage &Value);
  void onSettings(const SettingsPtr &Value);
  void record(const Event &What);
  wire::ControlMessage envelope(ServiceId Service) const;
  std::vector<Endpoint> gossipPeers();
  void onTick();
  void onStop();
  /// Renders on the loop's thread for another one; empty when that is busy.
  std::string onLoop(std::function<std::string()> Render);
  BalancerStatus status() const;

  HostSettings Host_;
  SystemClock Clock_;
  AgentRef Self_;
  Random Random_;
  Loop Loop_;
  Timeline Timeline_;
  Forwarder Forwarder_;
  Peering Peers_;
  /// Set when a graceful shutdown began.
  std::optional<TimePoint> StoppingSince_;

  std::atomic<bool> Ready_ = false; ///< For the threads of Admin_.

  // Their threads use what stands above: they end first.
  std::unique_ptr<PlatformLink> Link_;
  std::unique_ptr<AdminServer> Admin_;
};

} // namespace dragonflystall

#endif
