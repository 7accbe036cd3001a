// Answers that need no upstream, such as refusals, and the headers of replies.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_REPLY_H
#define DRAGONFLYSTALL_SRC_REQUESTS_REPLY_H

#include "dragonflystall/agentcore.h"

namespace dragonflystall {

/// Builds an answer to the request: piggybacked on the acknowledgement if the
/// request is confirmable, else non-confirmable with the given MessageId.
Message answerTo(const Message &Request, Code Kind, Verdict Outcome,
                 uint16_t MessageId);

/// Builds a 5.03 (Service Unavailable) answer with a retry-after time.
Message refusalTo(const Message &Request, Verdict Outcome, Duration RetryAfter,
                  uint16_t MessageId);

/// Builds the header of an answer that is sent back along the request's path.
PacketHeader replyHeader(const PacketHeader &Request, AgentId Holder);

} // namespace dragonflystall

#endif
