// A simulated deployment for failure tests, in virtual time. The cores are the
// real ones. Simulated are the network, which can delay, drop, duplicate and
// reorder packets; the upstreams, which count the runs of each request; one
// store with conditional writes; and the agent processes, which can be killed,
// paused and restarted.
#ifndef DRAGONFLYSTALL_SRC_AGENT_TESTWORLD_H
#define DRAGONFLYSTALL_SRC_AGENT_TESTWORLD_H

#include "agent/agentcore.h"
#include "dragonflystall/caller.h"
#include "dragonflystall/clock.h"
#include "steering/balancercore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace dragonflystall::test {

struct NetworkFaults {
  double Drop = 0;
  double Duplicate = 0;
  Duration MaxDelay = 2ms;
};

struct WorldOptions {
  uint64_t Seed = 1;
  unsigned AgentsPerZone = 2;
  unsigned Flows = 20;
  NetworkFaults Network;
  Duration ServiceTime = 10ms;
};

/// Counts of calls by the verdict that the caller received. Calls is their sum;
/// Pending counts the calls without a result.
struct Tally {
  unsigned Calls = 0;
  unsigned Ran = 0;
  unsigned NotRun = 0;
  unsigned MayHaveRun = 0;
  unsigned Pending = 0;
};

class World {
public:
  explicit World(const WorldOptions &Options);
  ~World();

  /// Advances the virtual time by Length.
  void run(Duration Length);
  /// Starts a call with a unique key. A POST request is not idempotent.
  void call(unsigned Flow, Code Method);
  /// Starts a call on a random flow every Interval, for a time of Length.
  /// PostPercent of the calls are POST requests, the others GET requests.
  void load(Duration Length, Duration Interval, unsigned PostPercent);

  /// Adds callers with new addresses, one flow for each.
  void addFlows(unsigned Count);

  size_t agents() const { return Agents_.size(); }
  void kill(size_t Agent);
  void restart(size_t Agent);
  void setPaused(size_t Agent, bool Paused);
  void stop(size_t Agent);
  /// From now on, control messages to the agent arrive later by ExtraDelay, as
  /// happens while its peers are still connecting to it.
  void delayControl(size_t Agent, Duration ExtraDelay);
  bool hasStopped(size_t Agent) const;
  /// The fabric keeps sending packets to the balancer until its next probe.
  void killBalancer(size_t Balancer);
  void setZoneEvacuated(const std::string &Zone, bool Evacuated);
  void setStoreDown(bool Down) { StoreDown_ = Down; }
  /// The next Count roster writes take effect, but their answers are lost.
  void loseWriteAnswers(unsigned Count) { WriteAnswersToLose_ = Count; }
  void setServiceTime(size_t Agent, Duration ServiceTime);
  void setNetworkFaults(const NetworkFaults &Faults) {
    Options_.Network = Faults;
  }
  /// Number of runs at the upstreams in the zone since the last call of
  /// setZoneEvacuated for this zone.
  unsigned runsIn(const std::string &Zone) const;

  Tally tally() const;
  /// Counts only the calls started since the previous call of this function.
  Tally tallySinceLast();
  uint64_t events() const { return Events_; }
  /// Aborts if the verdict of any call so far contradicts the recorded runs, or
  /// if a non-idempotent request ran more than once.
  void verify() const;

private:
  struct Process;
  struct Flow;
  struct CallRecord {
    std::string Key;
    bool Post = false;
    std::optional<CallResult> Result;
  };
  struct ScheduledTask {
    TimePoint DueTime;
    uint64_t Sequence;
    std::function<void()> Task;
    bool operator>(const ScheduledTask &Other) const {
      return std::tie(DueTime, Sequence) >
             std::tie(Other.DueTime, Other.Sequence);
    }
  };

  void schedule(Duration Delay, std::function<void()> Task);
  void transmit(const std::function<void()> &Deliver);
  void deliverToAgent(size_t Index, const AgentEvent &Input);
  void carryOut(size_t Index, const AgentAction &Action);
  void deliverToBalancer(size_t Index, const BalancerEvent &Input);
  void runUpstream(size_t Index, const RunUpstream &Run);
  void finishRun(size_t Index, uint64_t ProcessGeneration,
                 const RunUpstream &Run);
  void expireRun(size_t Index, uint64_t ProcessGeneration,
                 const RunUpstream &Run);
  void writeRoster(size_t Index, const UpdateRoster &Update);
  void publishRoster();
  void publishSettings();
  void sendControl(Endpoint To,
                   const std::shared_ptr<const wire::ControlMessage> &Value);
  void sendPacket(Endpoint To, Endpoint From, const PacketHeader &Header,
                  const std::string &Payload);
  void applyCallerOutput(unsigned FlowIndex, CallerOutput &Out);
  void start(size_t Index);
  void probeBalancers();
  void step();
  Tally tallyFrom(size_t First) const;

  WorldOptions Options_;
  VirtualClock Clock_;
  Random Random_;
  std::vector<std::unique_ptr<Process>> Agents_;
  std::vector<std::unique_ptr<BalancerCore>> Balancers_;
  std::vector<bool> BalancerDead_;
  /// Balancers to which the fabric sends packets.
  std::vector<size_t> ReachableBalancers_;
  std::vector<std::unique_ptr<Flow>> Flows_;
  std::vector<CallRecord> Calls_;
  std::map<std::string, unsigned> Runs_; ///< By key, summed over all upstreams.
  std::shared_ptr<Settings> Settings_;
  Roster Stored_;
  bool StoreDown_ = false;
  unsigned WriteAnswersToLose_ = 0;
  size_t TallyStart_ = 0;
  uint64_t Events_ = 0;
  uint64_t NextSequence_ = 0;
  std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, std::greater<>>
      Queue_;
};

} // namespace dragonflystall::test

#endif
