// Conversion of spilled requests from and to control messages.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_SPILLMESSAGE_H
#define DRAGONFLYSTALL_SRC_REQUESTS_SPILLMESSAGE_H

#include "job.h"
#include <control.pb.h>

namespace dragonflystall {

AgentRef senderOf(const wire::ControlMessage &Value);
/// The control address that the sender wants its answer at.
Endpoint replyTo(const wire::ControlMessage &Value);
void fillRequest(const Work &Request, TimePoint Now,
                 wire::UpstreamRequest &Into);
/// The request in the message; its deadline is on this agent's clock.
Work workOf(const wire::Spill &Value, ServiceId Service, TimePoint Now);

} // namespace dragonflystall

#endif
