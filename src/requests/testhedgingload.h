// Test support: ten agents under load in virtual time, whose upstreams take as
// long as a test says. An oracle checks that each request is answered once,
// that none has more than two executions, and that the hedges of each agent are
// within the limit in every minute.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TESTHEDGINGLOAD_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TESTHEDGINGLOAD_H

#include "requests/testagent.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <queue>

namespace dragonflystall {

inline constexpr size_t AgentCount = 10;
inline constexpr Duration NetworkDelay = 1ms;
inline constexpr Duration TickInterval = 50ms;
/// A run that is far slower than the usual 10 ms.
inline constexpr Duration Slow = 500ms;

class LoadWorld {
public:
  /// How long a run takes that starts at an agent's upstream.
  using RunTime = std::function<Duration(size_t Agent, Duration SinceStart)>;

  LoadWorld(uint32_t Percent, Duration Interval, RunTime TimeOfRun)
      : Interval_(Interval), TimeOfRun_(std::move(TimeOfRun)) {
    for (size_t I = 0; I < AgentCount; ++I) {
      AgentIdentity Self = testIdentity("agent-" + std::to_string(I));
      Self.Self.Control = {static_cast<uint32_t>(I + 1), 7001};
      Agents_.push_back(std::make_unique<TestAgent>(std::move(Self), I + 1));
      Oracles_.emplace_back();
      schedule(Duration(static_cast<int64_t>(Random_() % Interval.count())),
               [this, I] { sendRequest(I); });
    }
    setPercent(Percent);
    schedule(TickInterval, [this] { tickAll(); });
  }

  void setPercent(uint32_t Percent) {
    Percent_ = Percent;
    for (auto &Agent : Agents_) {
      Agent->Now = Now_;
      Agent->setHedgePercent(Percent);
    }
  }
  void runUntil(Duration SinceStart) {
    while (Events_.top().At <= Start + SinceStart) {
      const ScheduledEvent Next = Events_.top();
      Events_.pop();
      Now_ = Next.At;
      Next.Work();
    }
    Now_ = Start + SinceStart;
  }
  Duration between(Duration Low, Duration High) {
    return Low + Duration(static_cast<int64_t>(
                     Random_() % static_cast<uint64_t>((High - Low).count())));
  }
  bool perMille(unsigned Share) { return Random_() % 1000 < Share; }

  uint64_t hedges(RequestHedgeResult Result) const {
    uint64_t Sum = 0;
    for (const auto &Agent : Agents_)
      Sum += Agent->hedges(Result);
    return Sum;
  }
  uint64_t hedgesOf(size_t Agent, RequestHedgeResult Result) const {
    return Agents_[Agent]->hedges(Result);
  }
  /// Answers that took longer than this, and all answers.
  uint64_t answersAbove(size_t Agent, Duration Limit) const {
    return static_cast<uint64_t>(
        std::ranges::count_if(Oracles_[Agent].ResponseTimes,
                              [&](Duration Time) { return Time > Limit; }));
  }
  uint64_t answers() const {
    uint64_t Sum = 0;
    for (const Oracle &Each : Oracles_)
      Sum += Each.ResponseTimes.size();
    return Sum;
  }
  /// Requests that an agent which is alive received more than 2 s ago.
  uint64_t unanswered() const {
    return static_cast<uint64_t>(
        std::ranges::count_if(Requests_, [&](const auto &Entry) {
          const SentRequest &Request = Entry.second;
          return !Request.Answered && Request.Agent != Killed_ &&
                 Now_ - Request.At > 2s;
        }));
  }
  /// Nothing reaches the agent any more.
  void kill(size_t Agent) { Killed_ = Agent; }

private:
  struct ScheduledEvent {
    TimePoint At;
    uint64_t Order;
    std::function<void()> Work;
    bool operator<(const ScheduledEvent &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };
  struct SentRequest {
    TimePoint At;
    size_t Agent = 0;
    uint32_t Runs = 0;
    bool Answered = false;
  };
  struct Oracle {
    std::vector<TimePoint> Requests;
    std::vector<TimePoint> Hedges;
    std::vector<Duration> ResponseTimes;
  };

  void schedule(Duration After, std::function<void()> Work) {
    Events_.push({Now_ + After, Order_++, std::move(Work)});
  }

  void onAgent(size_t Index,
               const std::function<AgentActions(TestAgent &)> &Event) {
    if (Index == Killed_)
      return;
    TestAgent &Agent = *Agents_[Index];
    Agent.Now = Now_;
    Agent.Core.setPeers(viewsFor(Index));
    for (const AgentAction &Action : Event(Agent))
      perform(Index, Action);
  }

  std::vector<PeerView> viewsFor(size_t Index) const {
    std::vector<PeerView> Views;
    for (size_t I = 0; I < AgentCount; ++I) {
      if (I == Index)
        continue;
      const RequestLoad Load = Agents_[I]->Core.load();
      PeerView View;
      View.Agent = Agents_[I]->Self.Self.Agent;
      View.Control = Agents_[I]->Self.Self.Control;
      View.Running = Load.Running;
      View.Queued = Load.Queued;
      View.Limit = Load.Limit;
      View.Slots = Agents_[I]->Self.Self.Slots;
      Views.push_back(View);
    }
    return Views;
  }

  void perform(size_t Index, const AgentAction &Action) {
    if (const auto *Run = std::get_if<RunUpstream>(&Action)) {
      EXPECT_LE(++Requests_[Run->Path].Runs, 2U) << Run->Path;
      schedule(TimeOfRun_(Index, Now_ - Start), [this, Index, Id = Run->Run] {
        endRun(Index, Id, UpstreamOutcome::Answered);
      });
    } else if (const auto *Cancel = std::get_if<CancelUpstream>(&Action)) {
      schedule(1ms, [this, Index, Id = Cancel->Run] {
        endRun(Index, Id, UpstreamOutcome::Failed);
      });
    } else if (const auto *Sent = std::get_if<SendPeer>(&Action)) {
      schedule(NetworkDelay, [this, Copy = *Sent] {
        onAgent(Copy.To.Ip - 1,
                [&](TestAgent &Agent) { return Agent.receiveFromPeer(Copy); });
      });
    } else if (const auto *Reply = std::get_if<SendMessage>(&Action)) {
      onAnswer(Index, Reply->Value);
    } else if (const auto *Logged = std::get_if<Event>(&Action)) {
      if (Logged->Kind == EventKind::RequestHedged)
        onHedge(Index);
    }
  }

  void endRun(size_t Index, RunId Run, UpstreamOutcome Outcome) {
    onAgent(Index, [&](TestAgent &Agent) {
      return Agent.answerRun(Run, "done", Outcome);
    });
  }

  void onHedge(size_t Index) {
    EXPECT_GT(Percent_, 0U);
    Oracle &Counted = Oracles_[Index];
    Counted.Hedges.push_back(Now_);
    const auto InLastMinute = [&](TimePoint At) { return Now_ - At < 1min; };
    const auto Hedges = std::ranges::count_if(Counted.Hedges, InLastMinute);
    const auto Requests = std::ranges::count_if(Counted.Requests, InLastMinute);
    EXPECT_LE(100 * Hedges, Percent_ * Requests) << "agent " << Index;
  }

  void onAnswer(size_t Index, const Message &Answer) {
    if (Answer.Kind == Code::Empty)
      return;
    SentRequest &Request = Requests_[Answer.Token];
    EXPECT_FALSE(Request.Answered) << Answer.Token;
    Request.Answered = true;
    EXPECT_EQ(Answer.Verdict, Verdict::Ran) << Answer.Token;
    Oracles_[Index].ResponseTimes.push_back(Now_ - Request.At);
  }

  void sendRequest(size_t Index) {
    Message Request = TestAgent::request(Code::Get);
    Request.Type = MessageType::NonConfirmable;
    Request.Path = "/" + std::to_string(NextRequest_++);
    Request.Token = Request.Path;
    Requests_[Request.Path].At = Now_;
    Requests_[Request.Path].Agent = Index;
    Oracles_[Index].Requests.push_back(Now_);
    onAgent(Index, [&](TestAgent &Agent) { return Agent.receive(Request); });
    schedule(between(Interval_ / 2, Interval_ * 3 / 2),
             [this, Index] { sendRequest(Index); });
  }

  void tickAll() {
    for (size_t I = 0; I < AgentCount; ++I)
      onAgent(I, [](TestAgent &Agent) {
        AgentActions Out;
        Agent.Core.tick(Agent.Now, Out);
        return Out;
      });
    schedule(TickInterval, [this] { tickAll(); });
  }

  static constexpr TimePoint Start{1min};
  TimePoint Now_ = Start;
  uint64_t Order_ = 0;
  Random Random_{11};
  uint32_t Percent_ = 0;
  const Duration Interval_;
  const RunTime TimeOfRun_;
  size_t Killed_ = AgentCount;
  uint64_t NextRequest_ = 0;
  std::vector<std::unique_ptr<TestAgent>> Agents_;
  std::vector<Oracle> Oracles_;
  std::map<std::string, SentRequest> Requests_;
  std::priority_queue<ScheduledEvent> Events_;
};

} // namespace dragonflystall

#endif
