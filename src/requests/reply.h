// Answers to a caller that need no upstream: refusals and empty messages.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_REPLY_H
#define DRAGONFLYSTALL_SRC_REQUESTS_REPLY_H

#include "dragonflystall/agentcore.h"

namespace dragonflystall {

/// An answer of this kind to the request: piggybacked on the acknowledgement
/// of a confirmable request, else non-confirmable with MessageId.
Message answerTo(const Message &Request, Code Kind, Verdict V,
                 uint16_t MessageId);

/// "Not now": 5.03 with a retry-after.
Message refusalTo(const Message &Request, Verdict V, Duration RetryAfter,
                  uint16_t MessageId);

/// The header of an answer that goes back the way that the request came.
PacketHeader replyHeader(const PacketHeader &Request, AgentId Holder);

} // namespace dragonflystall

#endif
