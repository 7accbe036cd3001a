// A platform with faults, and processes' link cores on it, in virtual time.
// Everything that happens follows from one seed. What must hold is checked
// while it runs.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_FAKEPLATFORM_TEST_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_FAKEPLATFORM_TEST_H

#include "objectstore/linkcore.h"
#include "objectstore/memorystore.h"
#include "roster/rosterjson.h"
#include "types/check.h"

#include <memory>
#include <queue>
#include <set>

namespace dragonflystall::test {

struct PlatformFaults {
  bool Down = false;
  bool StaleWatches = false;
  Duration Slow{};
  uint32_t LoseAnswersPerCent = 0;
  /// Lost writes that take effect only after the answer was given up.
  uint32_t LateWritesPerCent = 0;
  uint32_t BusyPerCent = 0;
};

/// A process: its core, and what its owner was told.
struct LinkedProcess {
  std::unique_ptr<LinkCore> Core;
  std::map<std::string, Roster> Rosters;
  std::map<std::string, uint64_t> Settings;
  std::vector<RosterWritten> Results;
  std::vector<Event> Events;
  /// Connections that are silent, as channel and count of replacements.
  std::set<std::pair<LinkChannel, uint32_t>> Silent;
  std::array<uint32_t, LinkChannelNames.size()> Connection{};
  std::vector<TimePoint> Calls;
  uint64_t Asked = 0; ///< Roster updates asked for.

  bool saw(EventKind Kind) const {
    return std::any_of(Events.begin(), Events.end(),
                       [Kind](const Event &E) { return E.Kind == Kind; });
  }
};

class FakePlatform {
public:
  FakePlatform(size_t Count, uint64_t Seed) : Random_(Seed) {
    for (size_t I = 0; I < Count; ++I) {
      Processes.emplace_back();
      Processes.back().Core = std::make_unique<LinkCore>(
          LinkCore::Config{2, "process-" + std::to_string(I), Random_()});
    }
  }

  void run(Duration Time) {
    const TimePoint End = Now + Time;
    while (step(End)) {
    }
    Now = End;
  }

  void want(size_t Index, const std::string &Name, uint64_t Known = 0) {
    handle(Index, LinkWantRoster{"a", Name, Known});
  }
  void update(size_t Index, UpdateRoster Update) {
    ++Processes[Index].Asked;
    handle(Index, std::move(Update));
  }
  void setWatching(size_t Index, bool On) {
    handle(Index, LinkSetWatching{On});
  }
  /// An operator's change, straight into the store.
  uint64_t put(const std::string &Key, const std::string &Value) {
    const StoreAnswer Old =
        Store.call({.Kind = StoreCallKind::Get, .Key = Key});
    const uint64_t Version = Old.Status == StoreStatus::Done ? Old.Revision : 0;
    return apply({.Kind = StoreCallKind::Put,
                  .Key = Key,
                  .Version = Version,
                  .Value = Value,
                  .Writer = "operator",
                  .Team = "operations"})
        .Revision;
  }
  /// Makes all connections that are in use now silent for good.
  void silence() {
    for (LinkedProcess &P : Processes)
      for (size_t I = 0; I < P.Connection.size(); ++I)
        P.Silent.insert({static_cast<LinkChannel>(I), P.Connection[I]});
  }
  /// Every call on the platform, by all processes.
  uint64_t calls() const {
    uint64_t Sum = 0;
    for (const LinkedProcess &P : Processes)
      Sum += P.Core->calls();
    return Sum;
  }

  TimePoint Now{};
  PlatformFaults Faults;
  MemoryStore Store;
  std::vector<LinkedProcess> Processes;

private:
  struct Due {
    TimePoint At;
    uint64_t Order = 0;
    std::function<void()> Run;
    bool operator>(const Due &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };
  struct Waiter {
    size_t Process = 0;
    LinkCall Call;
    uint32_t Connection = 0;
    TimePoint End{};
  };

  bool chance(uint32_t PerCent) { return Random_() % 100 < PerCent; }

  void at(TimePoint When, std::function<void()> Run) {
    Queue_.push({When, ++Order_, std::move(Run)});
  }

  bool step(TimePoint End) {
    TimePoint Next = Queue_.empty() ? TimePoint::max() : Queue_.top().At;
    size_t Ticking = Processes.size();
    for (size_t I = 0; I < Processes.size(); ++I)
      if (const TimePoint Tick = Processes[I].Core->nextTick(); Tick < Next) {
        Next = Tick;
        Ticking = I;
      }
    if (Next > End)
      return false;
    Now = std::max(Now, Next);
    if (Ticking < Processes.size()) {
      handle(Ticking, LinkTick{});
      return true;
    }
    const Due First = Queue_.top();
    Queue_.pop();
    First.Run();
    return true;
  }

  void handle(size_t Index, const LinkEvent &What) {
    LinkActions Actions;
    Processes[Index].Core->handle(What, Now, Actions);
    for (const LinkAction &Action : Actions)
      std::visit([&](const auto &Value) { carryOut(Index, Value); }, Action);
  }

  void carryOut(size_t Index, const LinkCall &Call) {
    LinkedProcess &P = Processes[Index];
    checkBudget(P);
    const uint32_t Connection = P.Connection[static_cast<size_t>(Call.Channel)];
    if (P.Silent.contains({Call.Channel, Connection}))
      return;
    const Duration Latency = 1ms + Faults.Slow + jitter(Random_, 4ms);
    at(Now + Latency, [this, Index, Call, Connection] {
      serve({Index, Call, Connection, Now + Call.Call.Wait});
    });
  }
  void carryOut(size_t Index, const LinkAbandon &Abandon) {
    ++Processes[Index].Connection[static_cast<size_t>(Abandon.Channel)];
  }
  void carryOut(size_t Index, const LinkSettings &Settings) {
    auto &Known = Processes[Index].Settings;
    for (const StoredObject &Object : Settings.Objects)
      Known[Object.Key] = std::max(Known[Object.Key], Object.Version);
  }
  void carryOut(size_t Index, const Roster &Value) {
    Roster &Known = Processes[Index].Rosters[Value.Name];
    check(Value.Version >= Known.Version, "delivered rosters never go back");
    Known = Value;
  }
  void carryOut(size_t Index, const RosterWritten &Result) {
    Processes[Index].Results.push_back(Result);
    checkResult(Result);
  }
  void carryOut(size_t Index, const Event &What) {
    Processes[Index].Events.push_back(What);
  }

  /// Within any period: no more calls than the budget allows.
  void checkBudget(LinkedProcess &P) {
    P.Calls.push_back(Now);
    if (P.Calls.size() <= CallBurst)
      return;
    const size_t From = P.Calls.size() - 1 - CallBurst;
    check(P.Calls.back() - P.Calls[From] >= Duration(1s) / CallsPerSecond,
          "calls stay within the budget");
  }

  void checkResult(const RosterWritten &Result) const {
    if (Result.Outcome != RosterWritten::Result::Written)
      return;
    const auto It = History_.find(Result.Stored.Version);
    check(It != History_.end() &&
              It->second.Value == rosterToJson(Result.Stored),
          "a write that is reported as written was written");
  }

  void serve(const Waiter &Served) {
    const StoreCall &Call = Served.Call.Call;
    if (Faults.Down)
      return reply(Served, {.Status = chance(50) ? StoreStatus::NotSent
                                                 : StoreStatus::Lost});
    if (chance(Faults.BusyPerCent))
      return reply(Served, {.Status = StoreStatus::Busy, .RetryAfter = 1s});
    if (Call.Kind == StoreCallKind::Watch)
      return watch(Served);
    if (isWrite(Call.Kind) && chance(Faults.LateWritesPerCent)) {
      at(Now + jitter(Random_, 6s), [this, Call] { apply(Call); });
      return reply(Served, {.Status = StoreStatus::Lost});
    }
    const StoreAnswer Answer = apply(Call);
    if (chance(Faults.LoseAnswersPerCent)) {
      if (chance(50))
        return; // No answer at all.
      return reply(Served, {.Status = StoreStatus::Lost});
    }
    reply(Served, Answer);
  }

  StoreAnswer apply(const StoreCall &Call) {
    StoreAnswer Answer = Store.call(Call);
    if (!isWrite(Call.Kind) || Answer.Status != StoreStatus::Done)
      return Answer;
    check(Call.Writer == "operator" || Marks_.insert(Call.Writer).second,
          "a write takes effect at most once");
    History_[Answer.Revision] = {Call.Key, Answer.Revision, Call.Value, false,
                                 Call.Writer};
    wakeWatches();
    return Answer;
  }

  void watch(const Waiter &Served) {
    const StoreAnswer Answer = Store.call(Served.Call.Call);
    if (!Answer.Objects.empty() && !Faults.StaleWatches)
      return reply(Served, Answer);
    Waiting_.push_back(Served);
    at(Served.End, [this, Number = Served.Call.Number,
                    Process = Served.Process] { endWatch(Process, Number); });
  }

  void wakeWatches() {
    if (Faults.StaleWatches)
      return;
    std::vector<Waiter> Left;
    for (const Waiter &W : std::exchange(Waiting_, {})) {
      const StoreAnswer Answer = Store.call(W.Call.Call);
      if (Answer.Objects.empty())
        Left.push_back(W);
      else
        reply(W, Answer);
    }
    Waiting_.insert(Waiting_.end(), Left.begin(), Left.end());
  }

  void endWatch(size_t Process, uint64_t Number) {
    for (auto It = Waiting_.begin(); It != Waiting_.end(); ++It) {
      if (It->Process != Process || It->Call.Number != Number)
        continue;
      const Waiter Ended = *It;
      Waiting_.erase(It);
      StoreAnswer Answer{.Status = StoreStatus::Done,
                         .Revision = Ended.Call.Call.Version};
      if (Faults.Down)
        Answer.Status = StoreStatus::Lost;
      return reply(Ended, Answer);
    }
  }

  /// A connection that went silent since the call swallows the answer.
  void reply(const Waiter &To, const StoreAnswer &Answer) {
    const LinkChannel Channel = To.Call.Channel;
    at(Now + 1ms + Faults.Slow, [this, To, Answer, Channel] {
      LinkedProcess &P = Processes[To.Process];
      if (P.Connection[static_cast<size_t>(Channel)] == To.Connection &&
          !P.Silent.contains({Channel, To.Connection}))
        handle(To.Process, LinkAnswered{To.Call.Number, Answer});
    });
  }

  Random Random_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> Queue_;
  uint64_t Order_ = 0;
  std::vector<Waiter> Waiting_;
  std::map<uint64_t, StoredObject> History_;
  std::set<std::string> Marks_;
};

} // namespace dragonflystall::test

#endif
