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

} // namespace

struct Timeline::State {
  std::string Process;
  size_t Capacity;
  HybridClock Clock;
  mutable std::mutex Mutex;
  /// Guarded by Mutex, as is Next. Invariant: stamps rise from Ring[Next] on,
  /// round the end, once the ring is full; before that from Ring[0] on.
  std::vector<StampedEvent> Ring;
  size_t Next = 0;
  std::array<Counter, EventKindNames.size()> Counts;

  std::vector<StampedEvent> since(HybridTime Since) const;
};

Timeline::Timeline(std::string Process, size_t Capacity)
    : State_(std::make_unique<State>()) {
  State_->Process = std::move(Process);
  State_->Capacity = std::max<size_t>(Capacity, 1);
  State_->Ring.reserve(State_->Capacity);
}

Timeline::~Timeline() = default;

HybridClock &Timeline::clock() { return State_->Clock; }

void Timeline::record(std::chrono::system_clock::time_point Wall,
                      const Event &What) {
  const HybridTime At = State_->Clock.stamp(Wall);
  State_->Counts[static_cast<size_t>(What.Kind)].add();
  if (levelOf(What.Kind) >= logLevel())
    fmt::print(stderr, "{}", eventJson(State_->Process, {At, What}));
  const std::lock_guard Lock(State_->Mutex);
  if (State_->Ring.size() < State_->Capacity) {
    State_->Ring.push_back({At, What});
    return;
  }
  StampedEvent &Slot = State_->Ring[State_->Next];
  Slot.At = At;
  overwrite(Slot.What, What);
  if (++State_->Next == State_->Capacity)
    State_->Next = 0;
}

std::vector<StampedEvent> Timeline::State::since(HybridTime Since) const {
  std::vector<StampedEvent> Found;
  const std::lock_guard Lock(Mutex);
  for (size_t I = 0; I < Ring.size(); ++I) {
    const StampedEvent &E = Ring[(Next + I) % Ring.size()];
    if (E.At >= Since)
      Found.push_back(E);
  }
  return Found;
}

std::string Timeline::snapshotJson(HybridTime Since) const {
  std::string Lines;
  for (const StampedEvent &E : State_->since(Since))
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
