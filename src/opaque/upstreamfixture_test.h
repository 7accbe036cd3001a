// An agent's view of its local upstream, for tests of single calls and signs.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_UPSTREAMFIXTURE_TEST_H
#define DRAGONFLYSTALL_SRC_OPAQUE_UPSTREAMFIXTURE_TEST_H

#include "opaque/upstream.h"

#include <gtest/gtest.h>
#include <memory>

namespace dragonflystall::opaque::test {

inline const Endpoint Address = {0x0a010001, 8000};
constexpr Duration Interval = 800ms;

/// The upstream of one agent of the service "desk", in virtual time.
struct OneUpstream : testing::Test {
  TimePoint Now{100s};
  Configuration Config;
  std::string Service = "desk";
  std::unique_ptr<Upstream> Local;

  void SetUp() override {
    Manifest M;
    M.Version = 1;
    M.Services["desk"] = {0};
    Config.offer(M, Continuity::Unbroken, Now);
    Config.evacuations().offer({{1, 1}, {}}, Now);
    startAgent();
  }
  void setWarmUp(Duration Length) {
    Manifest M;
    M.Version = Config.manifest().Version + 1;
    M.Services["desk"] = {0, Length};
    Config.offer(M, Continuity::Unbroken, Now);
  }
  void startAgent() {
    Local = std::make_unique<Upstream>(
        UpstreamSettings{Address, "a", 2s, Interval, 1, 5, Service}, Config,
        Now);
  }
  Heartbeat beat(const std::string &Id, int64_t Born, int64_t Sequence) const {
    Heartbeat Beat;
    Beat.Id = Id;
    Beat.Service = "desk";
    Beat.Address = Address;
    Beat.Sequence = Sequence;
    Beat.Started = Born;
    return Beat;
  }
  HeartbeatVerdict hear(const Heartbeat &Beat) {
    return Local->onHeartbeat(Beat, Now);
  }
  /// Hears a start until it is proven; returns the number of its last call.
  int64_t settle(Heartbeat Beat) {
    hear(Beat);
    for (int I = 0; I < 3; ++I) {
      run(Interval);
      ++Beat.Sequence;
      hear(Beat);
    }
    return Beat.Sequence;
  }
  template <typename Time> void run(Time Length) {
    for (const TimePoint End =
             Now + std::chrono::duration_cast<Duration>(Length);
         Now < End;) {
      Now += Upstream::TickInterval;
      Local->tick(Now);
    }
  }
};

} // namespace dragonflystall::opaque::test

#endif
