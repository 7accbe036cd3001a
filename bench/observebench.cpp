// The cost of observability on the hot path: an event on the time line, a
// counter and a histogram. A daemon reads the wall clock once per loop round,
// not for each event, so that cost is not included.
#include "bench.h"

#include "observe/log.h"
#include "observe/metrics.h"
#include "observe/timeline.h"

#include <chrono>

namespace dragonflystall::bench {

namespace {

constexpr uint32_t Updates = 2'000'000;

template <typename F> Outcome timed(F Update) {
  const auto Start = std::chrono::steady_clock::now();
  for (uint32_t I = 0; I < Updates; ++I)
    Update(I);
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Start;
  return {Updates, Took.count(), 0};
}

} // namespace

Outcome recordEvents() {
  constexpr size_t RingEvents = 65'536;
  Timeline Line("bench", RingEvents);
  // A ring that is already full and in memory, as it is after the first hour.
  Event Recorded;
  Recorded.Kind = EventKind::RequestFinished;
  Recorded.Flow = {ServiceId{1}, {1, 1}};
  Recorded.Agent = AgentId{1};
  auto Wall = std::chrono::system_clock::now();
  for (size_t I = 0; I < RingEvents; ++I)
    Line.record(Wall, Recorded);
  Outcome Result = timed([&](uint32_t I) {
    Recorded.Request = I;
    Wall += std::chrono::microseconds(1);
    Line.record(Wall, Recorded);
  });
  Result.Signature = Line.count(EventKind::RequestFinished);
  return Result;
}

Outcome updateCounter() {
  Counter Packets;
  Outcome Result = timed([&](uint32_t) { Packets.add(); });
  Result.Signature = Packets.value();
  return Result;
}

Outcome updateHistogram() {
  Histogram Latency;
  Outcome Result =
      timed([&](uint32_t I) { Latency.record(0.001 + 0.0001 * (I % 1024)); });
  Result.Signature = Latency.count();
  return Result;
}

} // namespace dragonflystall::bench
