// The ring buffers of events, the hybrid logical clock, and the JSON lines.
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
  // A full counter overflows into the milliseconds, which keeps the order.
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
                 name(E.Payload.Kind));
  if (E.Payload.Flow != FlowKey{})
    fmt::format_to(Out, R"(,"service":"{:016x}","caller":"{}")",
                   static_cast<uint64_t>(E.Payload.Flow.Service),
                   toString(E.Payload.Flow.Caller));
  if (E.Payload.Agent != AgentId::None)
    fmt::format_to(Out, R"(,"agent":"{:08x}")",
                   static_cast<uint32_t>(E.Payload.Agent));
  if (E.Payload.Request != 0)
    fmt::format_to(Out, R"(,"request":"{:016x}")", E.Payload.Request);
  if (E.Payload.Value != 0)
    fmt::format_to(Out, R"(,"value":{})", E.Payload.Value);
  if (!E.Payload.Detail.empty())
    fmt::format_to(Out, R"(,"detail":{})", jsonString(E.Payload.Detail));
  fmt::format_to(Out, "}}\n");
  return fmt::to_string(Line);
}

namespace {

/// Assigns the string only if one of the two is not empty, because most events
/// have no detail.
void overwrite(Event &Old, const Event &New) {
  Old.Kind = New.Kind;
  Old.Flow = New.Flow;
  Old.Agent = New.Agent;
  Old.Request = New.Request;
  Old.Value = New.Value;
  if (!Old.Detail.empty() || !New.Detail.empty())
    Old.Detail = New.Detail;
}

/// A ring buffer of the newest events.
class Ring {
public:
  explicit Ring(size_t Capacity) : Capacity_(std::max<size_t>(Capacity, 1)) {
    Events_.reserve(Capacity_);
  }

  void push(HybridTime At, const Event &Payload) {
    if (Events_.size() < Capacity_) {
      Events_.push_back({At, Payload});
      return;
    }
    StampedEvent &Slot = Events_[Next_];
    Slot.At = At;
    overwrite(Slot.Payload, Payload);
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
  /// Invariant: stamps ascend from Events_[Next_] on, wrapping at the end.
  std::vector<StampedEvent> Events_;
  size_t Next_ = 0;
};

/// One part in this number of the capacity is reserved for rare kinds, because
/// frequent ones would otherwise displace them within seconds.
constexpr size_t RareCapacityDivisor = 4;

} // namespace

struct Timeline::State {
  State(std::string Process, size_t Capacity)
      : Process(std::move(Process)), Rare(Capacity / RareCapacityDivisor),
        Frequent(Capacity - Capacity / RareCapacityDivisor) {}

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
                      const Event &Payload) {
  const HybridTime At = State_->Clock.stamp(Wall);
  const LogLevel Level = levelOf(Payload.Kind);
  State_->Counts[static_cast<size_t>(Payload.Kind)].add();
  if (Level >= logLevel())
    fmt::print(stderr, "{}", eventJson(State_->Process, {At, Payload}));
  const std::lock_guard Lock(State_->Mutex);
  (Level == LogLevel::Debug ? State_->Frequent : State_->Rare)
      .push(At, Payload);
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
