// The agent's shell: sockets, the platform, the upstream and the clock round
// an AgentCore. All state belongs to the loop's thread.
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
#include <string>
#include <tl/expected.hpp>

namespace dragonflystall {

/// What the shell drops before any core sees it.
struct AgentDrops {
  uint64_t Malformed = 0; ///< No frame of ours, or no CoAP message in it.
  uint64_t Stranger = 0;  ///< From an address outside the zones' networks.
};

class AgentDaemon {
public:
  explicit AgentDaemon(const HostSettings &Host);
  ~AgentDaemon();

  /// Binds the sockets and connects; the error names what failed.
  tl::expected<void, std::string> start();
  /// Returns when a graceful shutdown is complete.
  void run();

private:
  void handle(const AgentEvent &What);
  void carryOut(const SendDatagram &Action);
  void carryOut(const SendMessage &Action);
  void carryOut(const SendPeer &Action);
  void carryOut(const RunUpstream &Action);
  void carryOut(const CancelUpstream &Action);
  void carryOut(const UpdateRoster &Action);
  void carryOut(const FetchRoster &Action);
  void carryOut(const StopComplete &Action);
  void carryOut(const Event &Action);
  Peering::Listener peerListener();
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
  std::string Header_; ///< Scratch, so that sending allocates nothing.
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
