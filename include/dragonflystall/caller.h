// The caller library's core: one flow's requests, their retries, tickets and
// answers. No I/O; datagrams go through the CoAP edge.
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

/// How a call ended. Exactly one for each call.
struct CallResult {
  CallId Id = CallId::None;
  Verdict Outcome = Verdict::MayHaveRun;
  Code Kind = Code::Empty; ///< Empty when no answer came.
  std::string Body;
  std::optional<Duration> RetryAfter;
  Duration Took{};
  uint32_t Attempts = 0;
};

struct CallerOutput {
  std::vector<Message> Send;
  std::vector<CallResult> Done;
};

/// RFC 7252's ACK_TIMEOUT where nothing is known of the way.
constexpr Duration DefaultAckTimeout = 2s;

class Caller {
public:
  /// AckTimeout is the least time until the first retransmission. On a way of
  /// a few milliseconds a shorter one rides over lost packets sooner; servers
  /// of ours acknowledge at once what takes longer to answer.
  explicit Caller(uint64_t Seed, Duration AckTimeout = DefaultAckTimeout);
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  CallId start(const Call &What, TimePoint Now, CallerOutput &Out);
  void cancel(CallId Id, TimePoint Now, CallerOutput &Out);
  void onMessage(const Message &Answer, TimePoint Now, CallerOutput &Out);
  void tick(TimePoint Now, CallerOutput &Out);
  /// When tick() has work next.
  TimePoint nextTick() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
