// The agent process for opaque flows: sockets and timers around opaque::Gate.
#ifndef DRAGONFLYSTALL_SRC_NODE_AGENT_H
#define DRAGONFLYSTALL_SRC_NODE_AGENT_H

#include "node/entryanswer.h"
#include "node/portprobe.h"
#include "node/process.h"
#include "opaque/gate.h"
#include "opaque/registration.h"
#include "opaque/settledera.h"
#include "opaque/storereaders.h"

namespace dragonflystall::node {

class Agent : public Process {
public:
  Agent(const Settings &Initial, SettingsReader ReadSettings);

protected:
  void onTick(TimePoint Now) override;
  void onControl(const opaque::ControlMessage &Message, Endpoint From,
                 TimePoint Now) override;
  void onManifest() override;
  void onEvacuations() override;
  void onStop(TimePoint Now) override;
  bool ready() const override { return config().hasManifest(); }
  HttpResponse onRequest(const HttpRequest &Request) override;

private:
  void onPacket(Endpoint From, std::string_view Bytes);
  void onUpstreamPacket(std::string_view Bytes);
  /// Sends what the gate has released to the upstream, and records how long
  /// requests have waited.
  void sendReleased();
  void registerWaits();
  void recordWait(const scheduling::EndedWait &Ended);
  void logRefusal(const opaque::PacketHead &Head,
                  const opaque::GateAction &Action, Endpoint From,
                  TimePoint Now);
  HttpResponse onHeartbeat(const opaque::Heartbeat &Beat);
  HttpResponse onLeave(const opaque::Incarnation &Start);
  /// No upstream ran when this agent started.
  void onUpstreamAbsent();
  /// The report to the balancer with this address for control messages.
  opaque::Pong pong(Endpoint Balancer, uint64_t Number, TimePoint Now);
  /// Logs a change of the intake and sends it to all pinging balancers.
  void reportIntake(TimePoint Now);
  /// Updates the gauge of failing requests; logs when the upstream begins to
  /// fail and when it has recovered.
  void updateFailureState();
  /// Requests that the agent's entry be created or updated in the store.
  void requestEntry();
  /// Requests that the entry be removed from the store, as its upstream has
  /// left or ended.
  void removeEntry();
  /// How long this agent runs after the stop signal.
  Duration stopTime() const;
  void pollRegistration(TimePoint Now);
  void onRegistrationAnswer(const EntryCall &Sent,
                            const tl::expected<HttpResponse, HttpFailure> &);
  void
  recordRegistrationAnswer(const EntryCall &Sent,
                           const tl::expected<HttpResponse, HttpFailure> &);
  void sendHello(TimePoint Now);
  /// Lets the upstream take new flows if the store is known to have the entry.
  /// Logs a change.
  void updateListed();

  opaque::Upstream Upstream_;
  opaque::Gate Gate_;
  opaque::Registration Registration_;
  HttpChannel StoreChannel_;
  PortProbe UpstreamProbe_;
  UdpSocket *BalancerSocket_ = nullptr;
  UdpSocket *UpstreamSocket_ = nullptr;
  StoreCallCounter StoreCalls_;
  opaque::PingingBalancers Balancers_;
  /// The newest entry that a balancer has reported; see Ping::NewestEntry.
  opaque::StoreRevision NewestEntry_;
  /// The newest manifest that a balancer has reported; see Located.
  int64_t NewestManifest_ = 0;
  opaque::Intake ReportedIntake_ = opaque::Intake::Unready;
  TimePoint NextHello_{};
  bool EntryRemoved_ = false;
  bool Listed_ = false;
  opaque::SettledEra Era_;
  bool Failing_ = false;
  TimePoint ExitAt_{};
  std::array<Counter *, opaque::GateReasonNames.size()> PacketsByReason_{};
  Histogram &ResponseTimes_;
  Histogram &WaitingTimes_;
  /// By rank: 0 is the most urgent priority of the service.
  std::array<Gauge *, scheduling::MaxPriorities> WaitingRequests_{};
  std::array<std::array<Counter *, scheduling::WaitEndNames.size()>,
             scheduling::MaxPriorities>
      EndedWaits_{};
  Gauge &OpenFlows_;
  Gauge &BusyThousandths_;
  Gauge &FailingThousandths_;
};

} // namespace dragonflystall::node

#endif
