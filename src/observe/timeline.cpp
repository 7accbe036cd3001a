// The ring of events, its stamps and its JSON lines.
#include "observe/timeline.h"

#include "observe/jsontext.h"
#include "observe/log.h"
#include "observe/metrics.h"

#include <algorithm>
#include <fmt/format.h>
#include <mutex>

namespace dragonflystall {

namespace {

constexpr int CounterBits = 16;

} // namespace

HybridTime HybridClock::stamp(std::chrono::system_clock::time_point Wall) {
  using namespace std::chrono;
  const auto Milliseconds =
      duration_cast<milliseconds>(Wall.time_since_epoch()).count();
  const HybridTime Physical = static_cast<HybridTime>(Milliseconds)
                              << CounterBits;
  // A full counter runs over into the milliseconds, which keeps the order.
  Last_ = std::max(Physical, Last_ + 1);
  return Last_;
}

void HybridClock::observe(HybridTime Remote) {
  Last_ = std::max(Last_, Remote);
}

std::string eventJson(std::string_view Process, const StampedEvent &E) {
  fmt::memory_buffer Line;
  auto Out = std::back_inserter(Line);
  fmt::format_to(Out, R"({{"at":"{}","time_ms":{},"process":{},"event":"{}")",
                 E.At, E.At >> CounterBits, jsonString(Process),
                 name(E.What.Kind));
  if (E.What.Flow != FlowKey{})
    fmt::format_to(Out, R"(,"service":"{:016x}","caller":"{}")",
                   static_cast<uint64_t>(E.What.Flow.Service),
                   toString(E.What.Flow.Caller));
  if (E.What.Agent != AgentId::None)
    fmt::format_to(Out, R"(,"agent":"{:08x}")",
                   static_cast<uint32_t>(E.What.Agent));
  if (E.What.Request != 0)
    fmt::format_to(Out, R"(,"request":"{:016x}")", E.What.Request);
  if (E.What.Value != 0)
    fmt::format_to(Out, R"(,"value":{})", E.What.Value);
  if (!E.What.Detail.empty())
    fmt::format_to(Out, R"(,"detail":{})", jsonString(E.What.Detail));
  fmt::format_to(Out, "}}\n");
  return fmt::to_string(Line);
}

namespace {

/// Leaves the string alone unless one of the two has text: most have none.
void overwrite(Event &Old, const Event &New) {
  Old.Kind = New.Kind;
  Old.Flow = New.Flow;
  Old.Agent = New.Agent;
  Old.Request = New.Request;
  Old.Value = New.Value;
  if (!Old.Detail.empty() || !New.Detail.empty())
    Old.Detail = New.Detail;
}

/// The newest events of a bounded number.
class Ring {
public:
  explicit Ring(size_t Capacity) : Capacity_(std::max<size_t>(Capacity, 1)) {
    Events_.reserve(Capacity_);
  }

  void push(HybridTime At, const Event &What) {
    if (Events_.size() < Capacity_) {
      Events_.push_back({At, What});
      return;
    }
    StampedEvent &Slot = Events_[Next_];
    Slot.At = At;
    overwrite(Slot.What, What);
    if (++Next_ == Capacity_)
      Next_ = 0;
  }

  void copySince(HybridTime Since, std::vector<StampedEvent> &Into) const {
    for (size_t I = 0; I < Events_.size(); ++I) {
      const StampedEvent &E = Events_[(Next_ + I) % Events_.size()];
      if (E.At >= Since)
        Into.push_back(E);
    }
  }

private:
  size_t Capacity_;
  /// Invariant: stamps rise from Events_[Next_] on, round the end.
  std::vector<StampedEvent> Events_;
  size_t Next_ = 0;
};

/// Of the events kept, this part is for rare kinds, which the frequent ones
/// would else push out within seconds.
constexpr size_t RareShare = 4;

} // namespace

struct Timeline::State {
  State(std::string Process, size_t Capacity)
      : Process(std::move(Process)), Rare(Capacity / RareShare),
        Frequent(Capacity - Capacity / RareShare) {}

  std::string Process;
  HybridClock Clock;
  std::array<Counter, EventKindNames.size()> Counts;
  mutable std::mutex Mutex;
  // Guarded by Mutex.
  Ring Rare;
  Ring Frequent;
};

Timeline::Timeline(std::string Process, size_t Capacity)
    : State_(std::make_unique<State>(std::move(Process), Capacity)) {}

Timeline::~Timeline() = default;

HybridClock &Timeline::clock() { return State_->Clock; }

void Timeline::record(std::chrono::system_clock::time_point Wall,
                      const Event &What) {
  const HybridTime At = State_->Clock.stamp(Wall);
  const LogLevel Level = levelOf(What.Kind);
  State_->Counts[static_cast<size_t>(What.Kind)].add();
  if (Level >= logLevel())
    fmt::print(stderr, "{}", eventJson(State_->Process, {At, What}));
  const std::lock_guard Lock(State_->Mutex);
  (Level == LogLevel::Debug ? State_->Frequent : State_->Rare).push(At, What);
}

std::string Timeline::snapshotJson(HybridTime Since) const {
  std::vector<StampedEvent> Found;
  {
    const std::lock_guard Lock(State_->Mutex);
    State_->Rare.copySince(Since, Found);
    State_->Frequent.copySince(Since, Found);
  }
  std::sort(
      Found.begin(), Found.end(),
      [](const StampedEvent &A, const StampedEvent &B) { return A.At < B.At; });
  std::string Lines;
  for (const StampedEvent &E : Found)
    Lines += eventJson(State_->Process, E);
  return Lines;
}

uint64_t Timeline::count(EventKind Kind) const {
  return State_->Counts[static_cast<size_t>(Kind)].value();
}

std::string Timeline::metricsText() const {
  std::string Text =
      "# HELP dragonflystall_events_total Events on the time line, by kind.\n"
      "# TYPE dragonflystall_events_total counter\n";
  for (size_t I = 0; I < EventKindNames.size(); ++I)
    Text += fmt::format("dragonflystall_events_total{{kind=\"{}\"}} {}\n",
                        EventKindNames[I], State_->Counts[I].value());
  return Text;
}

} // namespace dragonflystall
