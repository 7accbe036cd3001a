// An answer before it is split into blocks and addressed to a caller. Records
// store answers in this form, and agents send them to each other.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_ANSWER_H
#define DRAGONFLYSTALL_SRC_REQUESTS_ANSWER_H

#include "dragonflystall/agentcore.h"
#include <control.pb.h>

#include <memory>

namespace dragonflystall {

struct Answer {
  Code Kind = Code::Empty;
  dragonflystall::Verdict Verdict = dragonflystall::Verdict::MayHaveRun;
  std::optional<uint16_t> ContentFormat;
  std::optional<Duration> MaxAge; ///< In a refusal: the retry-after time.
  /// Shared between the records that hold the answer; null only if the body was
  /// not kept.
  std::shared_ptr<const std::string> Body;

  size_t bytes() const { return Body ? Body->size() : 0; }
};

/// A 5.03 (Service Unavailable) answer with a retry-after time.
Answer refusal(Verdict Outcome, Duration RetryAfter);
/// An answer whose body is the name of the verdict.
Answer bareAnswer(Code Kind, Verdict Outcome);
/// Converts the upstream's HTTP response to a CoAP answer and derives its
/// verdict.
Answer answerOf(const UpstreamAnswer &Upstream);

wire::Answer toWire(const Answer &Value);
/// A message with fields out of range becomes a 5.02 "may have run" answer.
Answer fromWire(const wire::Answer &Value);

/// Copies all fields but the body, which may have to be split into blocks.
void fillMessage(const Answer &Value, Message &Into);

/// RFC 7252, section 5.1: GET, PUT and DELETE are idempotent.
constexpr bool isIdempotent(Code Method) { return Method != Code::Post; }

} // namespace dragonflystall

#endif
