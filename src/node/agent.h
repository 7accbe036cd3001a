// The agent process for opaque flows: its sockets round the gate.
#ifndef DRAGONFLYSTALL_SRC_NODE_AGENT_H
#define DRAGONFLYSTALL_SRC_NODE_AGENT_H

#include "node/process.h"
#include "opaque/gate.h"
#include "opaque/registration.h"

namespace dragonflystall::node {

class Agent : public Process {
public:
  Agent(const Settings &Initial, SettingsReader Read);

protected:
  void onTick(TimePoint Now) override;
  void onControl(const opaque::ControlMessage &Message, Endpoint From,
                 TimePoint Now) override;
  void onManifest() override { reportIntake(Shared_.now()); }
  void onEvacuations() override;
  void onStop(TimePoint Now) override;
  bool ready() const override { return config().known(); }
  HttpResponse onRequest(const HttpRequest &Request) override;

private:
  /// A balancer that has asked lately.
  struct Asker {
    Endpoint Control;
    TimePoint LastPing{};
  };

  void onPacket(Endpoint From, std::string_view Bytes);
  void onUpstreamPacket(std::string_view Bytes);
  void logRefusal(const opaque::PacketHead &Head,
                  const opaque::GateAction &Action, Endpoint From,
                  TimePoint Now);
  HttpResponse onHeartbeat(const opaque::Heartbeat &Beat);
  HttpResponse onLeave(const std::string &Id);
  opaque::Pong pong(uint64_t Number, TimePoint Now);
  opaque::Intake intake(TimePoint Now) const;
  /// Tells all balancers when the intake has changed.
  void reportIntake(TimePoint Now);
  /// Logs when requests begin to fail, and when they no longer do.
  void watchOutcomes();
  void wantEntry();
  /// The upstream is gone: the entry goes, too.
  void dropEntry();
  void pollRegistration(TimePoint Now);
  void onRegistrationAnswer(opaque::Registration::Call What,
                            const tl::expected<HttpResponse, HttpFailure> &);
  void sayHello(TimePoint Now);

  opaque::Upstream Upstream_;
  opaque::Gate Gate_;
  opaque::Registration Registration_;
  HttpChannel StoreChannel_;
  UdpSocket *FromBalancers_ = nullptr;
  UdpSocket *FromUpstream_ = nullptr;
  std::vector<Asker> Askers_;
  opaque::Intake Reported_ = opaque::Intake::Unready;
  TimePoint NextHello_{};
  bool EntryDropped_ = false;
  bool Failing_ = false;
  TimePoint ExitAt_{};
  std::array<Counter *, opaque::GateReasonNames.size()> Gated_{};
  Histogram &ResponseTimes_;
  Gauge &OpenFlows_;
  Gauge &BusyThousandths_;
  Gauge &FailingThousandths_;
};

} // namespace dragonflystall::node

#endif
