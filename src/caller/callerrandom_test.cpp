// Random runs of callers against a fake agent over a simulated network that
// loses, delays, duplicates and reorders datagrams. Checks that no POST runs
// twice and that each verdict agrees with the requests that the agent ran.
#include "dragonflystall/caller.h"
#include "types/environment_test.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace dragonflystall {
namespace {

/// Runs a request at most once per ticket. At random it refuses requests,
/// leaves them unanswered or sends separate responses.
class FakeAgent {
public:
  explicit FakeAgent(Random &Bits) : Bits_(Bits) {}

  std::vector<Message> receive(const Message &In) {
    if (!isRequest(In.Kind) || chance(5))
      return {};
    const auto Record = std::make_pair(In.MessageId, In.Token);
    auto It = Answers_.find(Record);
    if (It != Answers_.end())
      return {It->second};
    if (In.Cancel)
      return {};
    const Message Answer = In.Kind == Code::Post ? post(In) : get(In);
    Answers_[Record] = Answer;
    if (!chance(20))
      return {Answer};
    return {emptyAcknowledgement(In), separate(Answer)};
  }

  std::map<std::string, uint32_t> Runs; ///< By the request's body.

private:
  bool chance(uint32_t Percent) {
    return std::uniform_int_distribution<uint32_t>(0, 99)(Bits_) < Percent;
  }
  static Message emptyAcknowledgement(const Message &In) {
    Message Empty;
    Empty.Type = MessageType::Acknowledgement;
    Empty.MessageId = In.MessageId;
    return Empty;
  }
  Message separate(Message Answer) {
    Answer.Type = MessageType::Confirmable;
    Answer.MessageId = NextMessageId_++;
    return Answer;
  }
  Message answer(const Message &In, Code Kind, Verdict V) {
    Message Answer;
    Answer.Type = MessageType::Acknowledgement;
    Answer.Kind = Kind;
    Answer.MessageId = In.MessageId;
    Answer.Token = In.Token;
    Answer.Verdict = V;
    if (Kind == Code::ServiceUnavailable)
      Answer.MaxAge = 1s;
    if (chance(50))
      Answer.Echo = newTicket();
    return Answer;
  }
  std::string newTicket() { return fmt::format("t{}", ++LastTicket_); }

  Message get(const Message &In) {
    if (chance(10))
      return answer(In, Code::ServiceUnavailable, Verdict::NotRun);
    Message Answer = answer(In, Code::Content, Verdict::Ran);
    Answer.Payload = In.Query;
    return Answer;
  }

  /// A repeated ticket gets the outcome of its first use, refusals included.
  Message post(const Message &In) {
    if (!In.Echo) {
      Message Demand = answer(In, Code::Unauthorized, Verdict::NotRun);
      Demand.Echo = newTicket();
      return Demand;
    }
    auto [It, Fresh] = Outcomes_.try_emplace(*In.Echo, Verdict::NotRun);
    if (Fresh && !chance(15)) {
      It->second = Verdict::Ran;
      ++Runs[In.Payload];
    }
    if (!Fresh && chance(5))
      return answer(In, Code::ServiceUnavailable, Verdict::MayHaveRun);
    if (It->second == Verdict::NotRun)
      return answer(In, Code::ServiceUnavailable, Verdict::NotRun);
    Message Answer = answer(In, Code::Changed, Verdict::Ran);
    Answer.Payload = In.Payload;
    return Answer;
  }

  Random &Bits_;
  uint64_t LastTicket_ = 0;
  uint16_t NextMessageId_ = 1;
  std::map<std::pair<uint16_t, Token>, Message> Answers_;
  std::map<std::string, Verdict> Outcomes_;
};

class RandomRun {
public:
  explicit RandomRun(uint64_t Seed)
      : Bits_(Seed), Agent_(Bits_), Flow_(Seed), Loss_(Bits_() % 60) {}

  void run(uint32_t Calls) {
    for (uint32_t I = 0; I < Calls; ++I) {
      startCall(I);
      const uint32_t Steps = 1 + Bits_() % 20;
      for (uint32_t Step = 0; Step < Steps; ++Step)
        step();
    }
    while (!PendingCalls_.empty() || !InFlight_.empty())
      step();
    // The results are checked only now, because datagrams may arrive and run a
    // request long after its result was reported.
    for (const CallResult &Each : Results_)
      checkResult(Each);
    EXPECT_EQ(Results_.size(), Calls);
  }

private:
  struct Datagram {
    bool ToAgent;
    Message Value;
  };

  bool chance(uint32_t Percent) { return Bits_() % 100 < Percent; }

  void startCall(uint32_t Index) {
    Call Request;
    const std::string Key = fmt::format("key={}", Index);
    Request.Method = chance(60) ? Code::Post : Code::Get;
    Request.Path = "/x";
    Request.Query = Request.Method == Code::Get ? Key : "";
    Request.Body = Request.Method == Code::Post ? Key : "";
    // Some time-outs are long enough for all retransmissions to be exhausted.
    Request.Timeout = 1s * (1 + Bits_() % (chance(30) ? 300 : 30));
    CallerOutput Out;
    const CallId Id = Flow_.start(Request, Now_, Out);
    Keys_[Id] = Key;
    Posts_[Id] = Request.Method == Code::Post;
    PendingCalls_.insert(Id);
    apply(Out);
  }

  void send(bool ToAgent, const Message &Value) {
    if (chance(Loss_))
      return;
    const uint32_t Copies = chance(10) ? 2 : 1;
    for (uint32_t I = 0; I < Copies; ++I) {
      const Duration Delay = chance(10) ? 10s : 2ms;
      InFlight_.emplace(Now_ + Delay * (Bits_() % 100) / 100,
                        Datagram{ToAgent, Value});
    }
  }

  void apply(const CallerOutput &Out) {
    for (const Message &Each : Out.Send)
      send(true, Each);
    for (const CallResult &Each : Out.Done) {
      EXPECT_EQ(PendingCalls_.erase(Each.Id), 1U) << "two results for one call";
      Results_.push_back(Each);
    }
  }

  /// Advances the time to the next datagram or the caller's next timer,
  /// whichever comes first, and handles it.
  void step() {
    CallerOutput Out;
    const TimePoint Timer = Flow_.nextTick();
    if (!InFlight_.empty() && InFlight_.begin()->first <= Timer) {
      Now_ = std::max(Now_, InFlight_.begin()->first);
      const Datagram Next = InFlight_.begin()->second;
      InFlight_.erase(InFlight_.begin());
      if (Next.ToAgent)
        for (const Message &Answer : Agent_.receive(Next.Value))
          send(false, Answer);
      else
        Flow_.onMessage(Next.Value, Now_, Out);
    } else if (Timer != TimePoint::max()) {
      Now_ = std::max(Now_, Timer);
      if (chance(2) && !PendingCalls_.empty())
        Flow_.cancel(*PendingCalls_.begin(), Now_, Out);
      Flow_.tick(Now_, Out);
    }
    apply(Out);
  }

  void checkResult(const CallResult &Result) {
    const std::string &Key = Keys_[Result.Id];
    if (Result.Outcome == Verdict::Ran && Result.Kind < Code::BadRequest) {
      EXPECT_EQ(Result.Body, Key) << "got the answer to another request";
    }
    if (!Posts_[Result.Id])
      return;
    const uint32_t Runs = Agent_.Runs[Key];
    EXPECT_LE(Runs, 1U) << Key;
    EXPECT_TRUE(Result.Outcome != Verdict::NotRun || Runs == 0) << Key;
    EXPECT_TRUE(Result.Outcome != Verdict::Ran || Runs == 1) << Key;
  }

  Random Bits_;
  FakeAgent Agent_;
  Caller Flow_;
  uint32_t Loss_; ///< Percent.
  TimePoint Now_{};
  std::multimap<TimePoint, Datagram> InFlight_;
  std::map<CallId, std::string> Keys_;
  std::map<CallId, bool> Posts_;
  std::set<CallId> PendingCalls_;
  std::vector<CallResult> Results_;
};

TEST(CallerRandom, VerdictsAreTrueAndNothingRunsTwice) {
  const uint64_t Seed = fromEnvironment("DRAGONFLYSTALL_SEED", 20261204);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", 60);
  for (uint64_t I = 0; I < Runs && !::testing::Test::HasFailure(); ++I) {
    SCOPED_TRACE(fmt::format("seed {}", Seed + I));
    RandomRun(Seed + I).run(100);
  }
}

} // namespace
} // namespace dragonflystall
