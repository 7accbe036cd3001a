// The agent's process: connects an AgentCore to the sockets, the platform, the
// upstream and the clock. All members are used on the thread of the event loop;
// the admin server's threads use only Timeline_ and the members guarded by
// PublishedMutex_.
#ifndef DRAGONFLYSTALL_SRC_AGENT_AGENTDAEMON_H
#define DRAGONFLYSTALL_SRC_AGENT_AGENTDAEMON_H

#include "agent/agentcore.h"
#include "objectstore/link.h"
#include "observe/admin.h"
#include "observe/timeline.h"
#include "requests/upstreamclient.h"
#include "settings/hostsettings.h"
#include "shell/loop.h"
#include "shell/peering.h"
#include "shell/udpsocket.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace dragonflystall {

/// Counts of received datagrams that are dropped before they reach AgentCore.
struct AgentDrops {
  uint64_t Malformed = 0; ///< No valid frame, or no valid CoAP message in it.
  /// Source address outside the networks of the zones.
  uint64_t ForeignAddress = 0;
};

class AgentDaemon {
public:
  explicit AgentDaemon(const HostSettings &Host);
  ~AgentDaemon();

  /// Binds the sockets and connects to the upstream and the platform. The error
  /// message names the step that failed.
  tl::expected<void, std::string> start();
  /// Runs the event loop; returns when a graceful shutdown is complete.
  void run();

private:
  void handle(const AgentEvent &Input);
  void onHedgeAlarm();
  void setHedgeAlarm();
  void carryOutAll(const AgentActions &Actions);
  void carryOut(const SendDatagram &Action);
  void carryOut(const SendMessage &Action);
  void carryOut(const SendPeer &Action);
  void carryOut(const RunUpstream &Action);
  void carryOut(const CancelUpstream &Action);
  void carryOut(const UpdateRoster &Action);
  void carryOut(const FetchRoster &Action);
  void carryOut(const StopComplete &Action);
  void carryOut(const Event &Action);
  Peering::Listener makePeerListener();
  void onDatagram(Endpoint From, std::string_view Bytes);
  void gossip();
  void startPlatform();
  void startUpstream();
  void publishStatus();
  std::string statusJson() const;

  HostSettings Host_;
  SystemClock Clock_;
  AgentIdentity Identity_;
  Loop Loop_;
  Timeline Timeline_;
  AgentCore Core_;
  Peering Peers_;
  AgentDrops Drops_;
  /// When the loop's alarm goes off, if it is set.
  std::optional<TimePoint> HedgeAlarm_;
  std::string HeaderBuffer_; ///< Reused for each datagram to avoid allocations.
  std::unique_ptr<UdpSocket> Data_;
  std::unique_ptr<UpstreamClient> Upstream_;
  std::unique_ptr<PlatformLink> Link_;
  std::unique_ptr<AdminServer> Admin_;

  mutable std::mutex PublishedMutex_;
  std::string PublishedStatus_;  ///< Guarded by PublishedMutex_.
  std::string PublishedMetrics_; ///< Guarded by PublishedMutex_.
  bool Ready_ = false;           ///< Guarded by PublishedMutex_.
};

} // namespace dragonflystall

#endif
