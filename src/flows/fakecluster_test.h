// A simulated cluster: the Flows of several agents over a fake network, a fake
// platform store and virtual time. A run is determined by its seed.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_FAKECLUSTER_TEST_H
#define DRAGONFLYSTALL_SRC_FLOWS_FAKECLUSTER_TEST_H

#include "flows/flows.h"

#include <control.pb.h>
#include <fmt/format.h>
#include <map>
#include <queue>
#include <set>

namespace dragonflystall::test {

/// Counts the packets delivered for each flow; a hand-over must carry the count
/// to the successor.
class FakeFlowState : public FlowStateStore {
public:
  std::map<FlowKey, uint64_t> Count;
  std::set<FlowKey> Busy;
  std::set<FlowKey> Fenced;

  bool isBusy(const FlowKey &Flow) const override {
    return Busy.contains(Flow);
  }
  wire::FlowState exportFlow(const FlowKey &Flow, TimePoint) override {
    wire::FlowState Result;
    Result.add_answers()->set_message_id(static_cast<uint32_t>(Count[Flow]));
    Count.erase(Flow);
    Fenced.insert(Flow);
    return Result;
  }
  void importFlow(const FlowKey &Flow, const wire::FlowState &State,
                  TimePoint) override {
    Fenced.erase(Flow);
    Count[Flow] = State.answers(0).message_id();
  }
  void dropFlow(const FlowKey &Flow, TimePoint) override {
    Count.erase(Flow);
    Busy.erase(Flow);
  }
};

struct FakeAgent {
  AgentIdentity Identity;
  FakeFlowState Store;
  std::unique_ptr<Flows> Core;
  bool Alive = true;
  TimePoint PausedUntil;
  uint64_t RosterSeen = 0;
};

struct Faults {
  Duration LeastDelay = 1ms;
  Duration MostDelay = 4ms;
  unsigned DropPerMille = 0;
  unsigned ControlDropPerMille = 0;
  unsigned DuplicatePerMille = 0;
  /// Maximum delay until a roster or settings change on the platform reaches an
  /// agent.
  Duration WatchDelay = 20ms;
  bool StoreDown = false;
  unsigned LostAnswerPerMille = 0;
};

class FakeCluster {
public:
  explicit FakeCluster(uint64_t Seed, unsigned Zones = 3)
      : Rng(Seed), ZoneCount(Zones) {
    publishSettings();
  }

  Random Rng;
  Faults ActiveFaults;
  TimePoint Now{std::chrono::hours(1)};
  std::map<std::string, FakeAgent> Agents;
  Roster StoredRoster;
  uint64_t StoreVersion = 0;
  uint64_t StoreWrites = 0;
  Settings CurrentSettings;
  /// Called after each event.
  std::function<void()> Check;
  std::function<void(const FakeAgent &, const AgentAction &)> OnAction;
  uint64_t Events = 0;
  uint64_t Refusals = 0;
  uint64_t Dropped = 0;
  uint64_t ControlBytes = 0;
  /// Flows that agents have reported as given up.
  std::set<FlowKey> GivenUp;
  /// For each flow that got packets, the agent that got the last one.
  std::map<FlowKey, std::string> LastHolder;
  unsigned ZoneCount;

  static constexpr Endpoint ServiceAddress{0x7f016401, 5683};
  static constexpr Endpoint Balancer{0x7f010101, 7000};
  static ServiceId service() { return serviceId("team", "tags"); }

  static std::string zoneName(unsigned Zone) {
    return fmt::format("zone-{}", Zone);
  }

  void publishSettings() {
    CurrentSettings.Version = ++StoreVersion;
    if (CurrentSettings.Services.empty()) {
      ServiceSettings Service;
      Service.Team = "team";
      Service.Name = "tags";
      Service.Id = service();
      Service.Addresses = {ServiceAddress};
      Service.MaxConnections = 2000;
      CurrentSettings.Services.push_back(Service);
      for (unsigned I = 0; I < ZoneCount; ++I) {
        const uint32_t Ip = 0x7f010100 + (I << 8);
        CurrentSettings.Zones.push_back(
            {zoneName(I), false, {Network{Ip, 24}}});
      }
    }
    auto Shared = std::make_shared<const Settings>(CurrentSettings);
    for (auto &[Name, Agent] : Agents)
      after(watchDelay(), [this, Name = Name, Shared] {
        event(Name, [this, Shared](FakeAgent &Target, FlowsOutput &Out) {
          Target.Core->onSettings(Shared, Now, Out);
        });
      });
  }

  /// Starts an agent, or restarts it with a new incarnation.
  void start(const std::string &Name, unsigned Zone, unsigned Host,
             uint32_t Connections = 2000) {
    FakeAgent &Target = Agents[Name];
    Target.Store = {};
    Target.Alive = true;
    Target.PausedUntil = {};
    Target.RosterSeen = 0;
    Target.Identity.Team = "team";
    Target.Identity.Service = "tags";
    RosterEntry &Self = Target.Identity.Self;
    Self.Name = Name;
    Self.Agent = {agentId(Name), Incarnation{Rng() | 1}};
    Self.Zone = zoneName(Zone);
    const uint32_t Ip = 0x7f010100 + (Zone << 8) + 10 + Host;
    Self.Data = {Ip, 7000};
    Self.Control = {Ip, 7001};
    Self.Slots = 4;
    Self.Connections = Connections;
    Target.Core = std::make_unique<Flows>(Target.Identity, Rng(), Target.Store);
    const uint64_t Start = ++Starts_;
    StartOf_[Name] = Start;
    FlowsOutput Out;
    Target.Core->onSettings(std::make_shared<const Settings>(CurrentSettings),
                            Now, Out);
    carryOut(Name, Out);
    tickLater(Name, Start);
  }

  void kill(const std::string &Name) {
    Agents[Name].Alive = false;
    ++StartOf_[Name];
    StartOf_[Name] = ++Starts_;
  }
  void pause(const std::string &Name, Duration Length) {
    Agents[Name].PausedUntil = Now + Length;
  }
  void leave(const std::string &Name) {
    event(Name, [&](FakeAgent &Target, FlowsOutput &Out) {
      Target.Core->leave(Now, Out);
    });
  }

  void run(Duration Length) {
    const TimePoint End = Now + Length;
    while (!Queue_.empty() && Queue_.top().At <= End) {
      // Moved out before the element is popped, because the task may push
      // others.
      auto Task = std::move(const_cast<Pending &>(Queue_.top()).Task);
      Now = std::max(Now, Queue_.top().At);
      Queue_.pop();
      ++Events;
      Task();
      if (Check)
        Check();
    }
    Now = End;
  }

  /// Sends a caller's request to the agent, as a balancer would.
  void request(const std::string &To, uint32_t Caller, bool Ticket = false) {
    AgentPacket Packet;
    Packet.From = Balancer;
    Packet.Header.Service = service();
    Packet.Header.ServiceAddress = ServiceAddress;
    Packet.Header.Caller = callerOf(Caller);
    Packet.Header.Balancer = Balancer;
    Packet.Header.RosterVersion = StoredRoster.Version;
    Packet.Payload = "request";
    Packet.Decoded.Kind = Code::Post;
    if (Ticket)
      Packet.Decoded.Echo = "ticket";
    datagram(Agents.at(To).Identity.Self.Data, Packet);
  }
  static Endpoint callerOf(uint32_t Caller) { return {0x0a000000 + Caller, 9}; }
  static FlowKey flowOf(uint32_t Caller) {
    return {service(), callerOf(Caller)};
  }

  std::vector<std::string> holders(const FlowKey &Flow) const {
    std::vector<std::string> Result;
    for (const auto &[Name, Agent] : Agents)
      if (Agent.Alive && Agent.Core->holds(Flow))
        Result.push_back(Name);
    return Result;
  }
  std::string randomLiveAgent() {
    std::vector<std::string> Names;
    for (const auto &[Name, Agent] : Agents)
      if (Agent.Alive)
        Names.push_back(Name);
    return Names.empty() ? "" : Names[Rng() % Names.size()];
  }
  bool paused(const FakeAgent &Target) const {
    return Target.PausedUntil > Now;
  }
  Endpoint dataOf(const std::string &Name) {
    return Agents.at(Name).Identity.Self.Data;
  }
  void after(Duration Delay, std::function<void()> Task) {
    Queue_.push({Now + Delay, ++Sequence_, std::move(Task)});
  }

private:
  struct Pending {
    TimePoint At;
    uint64_t Sequence;
    std::function<void()> Task;
    bool operator<(const Pending &Other) const {
      return std::tie(Other.At, Other.Sequence) < std::tie(At, Sequence);
    }
  };
  std::priority_queue<Pending> Queue_;
  uint64_t Sequence_ = 0;
  uint64_t Starts_ = 0;
  std::map<std::string, uint64_t> StartOf_;

  bool chance(unsigned PerMille) { return Rng() % 1000 < PerMille; }
  Duration delay() {
    const auto Span = ActiveFaults.MostDelay - ActiveFaults.LeastDelay;
    return ActiveFaults.LeastDelay +
           Duration(Rng() % static_cast<uint64_t>(Span.count() + 1));
  }
  Duration watchDelay() {
    const auto Most = static_cast<uint64_t>(ActiveFaults.WatchDelay.count());
    return Duration(Rng() % (Most + 1));
  }

  void tickLater(const std::string &Name, uint64_t Start) {
    after(Duration(90ms) + Duration(Rng() % 20'000'000), [this, Name, Start] {
      if (StartOf_[Name] != Start)
        return;
      event(Name, [this](FakeAgent &Target, FlowsOutput &Out) {
        Target.Core->tick(Now, RequestLoad{0, 0, 4}, Out);
      });
      tickLater(Name, Start);
    });
  }

  /// Runs the event at the agent; if the agent is paused, at the end of the
  /// pause.
  void event(const std::string &Name,
             const std::function<void(FakeAgent &, FlowsOutput &)> &Handle) {
    FakeAgent &Target = Agents[Name];
    if (!Target.Alive)
      return;
    if (paused(Target)) {
      const uint64_t Start = StartOf_[Name];
      after(Target.PausedUntil - Now + 1us, [this, Name, Handle, Start] {
        if (StartOf_[Name] == Start)
          event(Name, Handle);
      });
      return;
    }
    FlowsOutput Out;
    Handle(Target, Out);
    carryOut(Name, Out);
  }

  void carryOut(const std::string &Name, FlowsOutput &Out) {
    FakeAgent &Target = Agents[Name];
    for (AgentPacket &Packet : Out.Deliver) {
      const FlowKey Flow = dragonflystall::flowOf(Packet.Header);
      ++Target.Store.Count[Flow];
      LastHolder[Flow] = Name;
    }
    for (AgentAction &Action : Out.Actions) {
      if (OnAction)
        OnAction(Target, Action);
      carryOut(Name, Target, Action);
    }
  }

  void carryOut(const std::string &Name, FakeAgent &Target,
                AgentAction &Action) {
    if (auto *Send = std::get_if<SendDatagram>(&Action)) {
      AgentPacket Packet;
      Packet.From = Target.Identity.Self.Data;
      Packet.Header = Send->Header;
      Packet.Payload = Send->Payload;
      Packet.Decoded.Kind = Code::Post;
      datagram(Send->To, Packet);
    } else if (auto *Peer = std::get_if<SendPeer>(&Action)) {
      ControlBytes += Peer->Value->ByteSizeLong();
      control(Peer->To, Peer->Value);
    } else if (auto *Update = std::get_if<UpdateRoster>(&Action)) {
      write(Name, *Update);
    } else if (std::get_if<FetchRoster>(&Action)) {
      deliverRoster(Name);
    } else if (std::get_if<SendMessage>(&Action)) {
      ++Refusals;
    } else if (auto *Reported = std::get_if<Event>(&Action)) {
      Dropped += Reported->Kind == EventKind::PacketDropped ? 1 : 0;
      if (Reported->Kind == EventKind::FlowGivenUp)
        GivenUp.insert(Reported->Flow);
    }
  }

  std::string nameAt(Endpoint Address) const {
    for (const auto &[Name, Agent] : Agents)
      if (Agent.Identity.Self.Data == Address ||
          Agent.Identity.Self.Control == Address)
        return Name;
    return "";
  }

  void datagram(Endpoint To, const AgentPacket &Packet) {
    const std::string Name = nameAt(To);
    if (Name.empty() || chance(ActiveFaults.DropPerMille))
      return;
    const int Copies = chance(ActiveFaults.DuplicatePerMille) ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      after(delay(), [this, Name, Packet] {
        event(Name, [this, Packet](FakeAgent &Target, FlowsOutput &Out) {
          Target.Core->onPacket(Packet, Now, Out);
        });
      });
  }

  void control(Endpoint To,
               const std::shared_ptr<const wire::ControlMessage> &Value) {
    const std::string Name = nameAt(To);
    if (Name.empty() || chance(ActiveFaults.ControlDropPerMille))
      return;
    const int Copies = chance(ActiveFaults.DuplicatePerMille) ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      after(delay(), [this, Name, Value] {
        event(Name, [this, Value](FakeAgent &Target, FlowsOutput &Out) {
          Target.Core->onPeer(*Value, Now, Out);
        });
      });
  }

  void write(const std::string &Name, const UpdateRoster &Update) {
    const uint64_t Start = StartOf_[Name];
    after(delay(), [this, Name, Update, Start] {
      RosterWritten Result;
      Result.Outcome = RosterWritten::Result::Unknown;
      if (!ActiveFaults.StoreDown) {
        ++StoreWrites;
        const bool VersionMatches = Update.Expected == StoredRoster.Version;
        if (VersionMatches) {
          StoredRoster = Update.Value;
          StoredRoster.Version = ++StoreVersion;
          for (const auto &[Other, Agent] : Agents)
            deliverRoster(Other);
        }
        const bool ReplyLost = chance(ActiveFaults.LostAnswerPerMille);
        if (!ReplyLost) {
          Result.Outcome = VersionMatches ? RosterWritten::Result::Written
                                          : RosterWritten::Result::Conflict;
          Result.Stored = StoredRoster;
        }
      }
      after(delay(), [this, Name, Result, Start] {
        if (StartOf_[Name] == Start)
          event(Name, [this, Result](FakeAgent &Target, FlowsOutput &Out) {
            Target.Core->onRosterWritten(Result, Now, Out);
          });
      });
    });
  }

  void deliverRoster(const std::string &Name) {
    after(watchDelay(), [this, Name] {
      if (ActiveFaults.StoreDown || StoredRoster.Version == 0)
        return;
      event(Name,
            [this, Value = StoredRoster](FakeAgent &Target, FlowsOutput &Out) {
              Target.Core->onRoster(Value, Now, Out);
            });
    });
  }
};

} // namespace dragonflystall::test

#endif
