// An answer before it is cut into blocks and addressed: what records keep and
// what travels between agents.
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
  std::optional<Duration> MaxAge; ///< Retry-after on a refusal.
  /// Shared between the records that can give it; never null when it is known.
  std::shared_ptr<const std::string> Body;

  size_t bytes() const { return Body ? Body->size() : 0; }
};

/// "Not now": 5.03 with a retry-after.
Answer refusal(Verdict V, Duration RetryAfter);
/// An answer without a body but the verdict's name.
Answer bareAnswer(Code Kind, Verdict V);
/// What the upstream said, as CoAP, and what that proves.
Answer answerOf(const UpstreamAnswer &Upstream);

wire::Answer toWire(const Answer &Value);
/// Fields out of range become "may have run".
Answer fromWire(const wire::Answer &Value);

/// Fills in what the answer says; the body is left to the block cutter.
void describe(const Answer &Value, Message &Into);

/// RFC 7252, section 5.1: a repeated GET, PUT or DELETE does no harm.
constexpr bool isIdempotent(Code Method) { return Method != Code::Post; }

} // namespace dragonflystall

#endif
