// The balancer process for opaque flows: sockets and timers around
// opaque::Steering.
#ifndef DRAGONFLYSTALL_SRC_NODE_BALANCER_H
#define DRAGONFLYSTALL_SRC_NODE_BALANCER_H

#include "node/process.h"
#include "opaque/shutdown.h"
#include "opaque/steering.h"
#include "opaque/storereaders.h"

namespace dragonflystall::node {

class Balancer : public Process {
public:
  Balancer(const Settings &Initial, SettingsReader ReadSettings);

protected:
  void onTick(TimePoint Now) override;
  void onControl(const opaque::ControlMessage &Message, Endpoint From,
                 TimePoint Now) override;
  void onManifest() override;
  void onSettings() override { updateHedgeLimits(); }
  void onEvacuations() override { pingSoon(); }
  void onPeerAgents(const opaque::AgentList &Theirs) override;
  void onStop(TimePoint Now) override { StopRequestedAt_ = Now; }
  bool ready() const override;
  opaque::AgentList agentsForPeers() const override;
  /// Answers GET /where; see WhereQuery.
  HttpResponse onRequest(const HttpRequest &Request) override;

private:
  void onCallerBatch(std::span<const Datagram> Batch);
  void onReturnedDatagram(Endpoint From, std::string_view Bytes);
  void carryOut(const opaque::SteerAction &Action,
                const opaque::PacketHead &Head, std::string_view Bytes,
                TimePoint Now);
  void carryOut(const std::vector<opaque::DelayedAction> &Actions,
                TimePoint Now);
  void logAction(const opaque::SteerAction &Action,
                 const opaque::PacketHead &Head, TimePoint Now);
  void updateHedgeLimits();
  /// Starts the timer of hedges if some flow may need one.
  void scheduleHedges();
  void hedgeOpenings();
  void logHedge(const opaque::HedgeDecision &Decision);
  struct HedgeMetrics {
    std::array<Counter *, opaque::OpeningHedgeResultNames.size()> Results{};
    Gauge *ExtraPercent = nullptr;
  };
  /// Registers the metrics of a service at the first call.
  HedgeMetrics &hedgeMetricsOf(const std::string &Service);
  void countHedges(TimePoint Now);
  /// Whether this stopping balancer may exit; see opaque::Shutdown.
  bool mayExit(TimePoint Now) const;
  void ping(TimePoint Now);
  /// Logs that an agent was ejected, or is so no longer.
  void logEjection(opaque::Agent &Member, TimePoint Now);
  opaque::Ping pingTo(const opaque::Agent &Target) const;
  void onPong(const opaque::Pong &Pong, TimePoint Now);
  /// Tells the agents of a new configuration before the next regular ping, if
  /// others may learn of it from this balancer only.
  void pingSoon();
  /// Watches the store as a primary reader or as one of the others.
  void updateReading(TimePoint Now);
  /// Removes one dead agent's entry from the store.
  void removeDead(TimePoint Now);
  // What the store tells of the agents' entries.
  void onAgentPage(const platform::Page &Page, bool First);
  void onAgentsListed();
  void onAgentChanges(const platform::Changes &Changes);
  void onAgentObject(const platform::Object &Listed);
  void applyChange(const platform::Change &Event);
  /// Reads the newest changes of the agents' entries from the store if searches
  /// wait for that.
  void confirmEntries(TimePoint Now);
  /// The answer to a read from the revision From.
  void onEntriesAnswer(const tl::expected<HttpResponse, HttpFailure> &Result,
                       opaque::StoreRevision From,
                       const opaque::AwaitedRead &Awaited);
  /// The changes after From; the cause of the failure if the answer does not
  /// show all changes up to the read.
  tl::expected<platform::Changes, std::string>
  readChanges(const tl::expected<HttpResponse, HttpFailure> &Result,
              opaque::StoreRevision From);
  /// Logs an object that is not a valid entry.
  std::optional<opaque::AgentEntry> readEntry(const platform::Object &Listed);

  opaque::Directory Agents_;
  opaque::Steering Steering_;
  opaque::StoreReader Reader_;
  StoreCallCounter StoreCalls_;
  ObjectWatcher AgentWatcher_;
  HttpChannel RemoveChannel_;
  HttpChannel ConfirmChannel_;
  /// Heads of one batch of packets; reused for each batch.
  std::vector<std::optional<opaque::PacketHead>> BatchHeads_;
  UdpSocket *CallerSocket_ = nullptr;
  UdpSocket *AgentSocket_ = nullptr;
  /// Entries and their revisions, collected while the list is read page by
  /// page.
  std::vector<opaque::ListedAgent> ListedAgents_;
  /// The store or a peer has provided a list of agents.
  bool AgentsKnown_ = false;
  uint64_t PingNumber_ = 0;
  TimePoint LastPing_{};
  TimePoint NextPing_{};
  TimePoint StopRequestedAt_{};
  TimePoint LastCallerPacket_{};
  DelayedCall HedgeTimer_;
  std::map<std::string, HedgeMetrics> HedgeMetrics_; ///< By service.
  std::array<Counter *, opaque::SteerReasonNames.size()> PacketsByReason_{};
  Counter &EntriesUnreadable_;
  Counter &SearchesConfirmed_;
  Gauge &AgentsAlive_;
  Gauge &AgentsTotal_;
  Gauge &CachedFlows_;
  Gauge &WaitingFlows_;
  Gauge &AgentsEjected_;
};

} // namespace dragonflystall::node

#endif
