// The core of the caller library: the requests of one flow, their retries,
// tickets and answers. It does no I/O; the CoAP edge encodes and decodes its
// datagrams.
#ifndef DRAGONFLYSTALL_CALLER_H
#define DRAGONFLYSTALL_CALLER_H

#include "dragonflystall/clock.h"
#include "dragonflystall/message.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonflystall {

enum class CallId : uint64_t { None = 0 };

struct Call {
  Code Method = Code::Get;
  std::string Path;
  std::string Query;
  std::string Body;
  Duration Timeout = 5s;
};

/// The result of a call. Each call has exactly one.
struct CallResult {
  CallId Id = CallId::None;
  Verdict Outcome = Verdict::MayHaveRun;
  Code Kind = Code::Empty; ///< Empty when no answer was received.
  std::string Body;
  std::optional<Duration> RetryAfter;
  Duration Took{};
  uint32_t Attempts = 0;
};

struct CallerOutput {
  std::vector<Message> Send;
  std::vector<CallResult> Done;
};

/// RFC 7252's ACK_TIMEOUT, for network paths of unknown round-trip time.
constexpr Duration DefaultAckTimeout = 2s;

class Caller {
public:
  /// AckTimeout is the least time until the first retransmission. On a network
  /// path with a round-trip time of a few milliseconds, a shorter one recovers
  /// sooner from packet loss. Agents acknowledge at once a request that takes
  /// longer to answer.
  explicit Caller(uint64_t Seed, Duration AckTimeout = DefaultAckTimeout);
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  CallId start(const Call &What, TimePoint Now, CallerOutput &Out);
  void cancel(CallId Id, TimePoint Now, CallerOutput &Out);
  void onMessage(const Message &Answer, TimePoint Now, CallerOutput &Out);
  void tick(TimePoint Now, CallerOutput &Out);
  /// When tick() must be called next.
  TimePoint nextTick() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
