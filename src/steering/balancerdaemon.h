// The balancer process: connects the forwarding path to control messages, the
// platform, the admin server and timers. All state is accessed only on the
// event loop's thread, unless noted otherwise.
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

  /// Binds the sockets, starts the admin server and connects to the platform;
  /// the error names the step that failed.
  tl::expected<void, std::string> start();
  /// Returns when a graceful shutdown is complete.
  void run();

private:
  tl::expected<void, std::string> openForwarder();
  tl::expected<void, std::string> startAdmin();
  void startPlatform();

  void onFetchRoster(const FetchRoster &Request);
  Peering::Listener peerListener();
  void onControl(const wire::ControlMessage &Message);
  void onRosterPull(const wire::ControlMessage &Message);
  void onSettings(const SettingsPtr &NewSettings);
  void record(const Event &NewEvent);
  wire::ControlMessage envelope(ServiceId Service) const;
  std::vector<Endpoint> gossipPeers();
  void onTick();
  void onStop();
  /// Runs Render on the event loop's thread on behalf of another thread;
  /// returns an empty string if the loop does not run it within the timeout.
  std::string renderOnLoop(std::function<std::string()> Render);
  BalancerStatus status() const;

  HostSettings Host_;
  SystemClock Clock_;
  AgentRef Self_;
  Random Random_;
  Loop Loop_;
  Timeline Timeline_;
  Forwarder Forwarder_;
  Peering Peers_;
  /// When a graceful shutdown began, if it did.
  std::optional<TimePoint> StoppingSince_;

  std::atomic<bool> Ready_ = false; ///< Also read by the threads of Admin_.

  // Declared last, so that their threads, which use the members above, end
  // first.
  std::unique_ptr<PlatformLink> Link_;
  std::unique_ptr<AdminServer> Admin_;
};

} // namespace dragonflystall

#endif
