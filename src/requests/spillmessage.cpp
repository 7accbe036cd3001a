// Copies every field of a request that its execution depends on.
#include "spillmessage.h"

#include <algorithm>

namespace dragonflystall {

namespace {

uint32_t remainingMs(TimePoint Deadline, TimePoint Now) {
  const auto Remaining =
      std::chrono::floor<std::chrono::milliseconds>(Deadline - Now).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(Remaining, 0, UINT32_MAX));
}

} // namespace

AgentRef senderOf(const wire::ControlMessage &Value) {
  return {AgentId{Value.sender().id()},
          Incarnation{Value.sender().incarnation()}};
}

Endpoint replyTo(const wire::ControlMessage &Value) {
  return {Value.reply_to().ip(),
          static_cast<uint16_t>(Value.reply_to().port())};
}

void fillRequest(const Work &Request, TimePoint Now,
                 wire::UpstreamRequest &Into) {
  Into.set_method(static_cast<uint32_t>(Request.Method));
  Into.set_path(Request.Path);
  Into.set_query(Request.Query);
  Into.set_body(Request.Body);
  Into.set_timeout_ms(remainingMs(Request.Deadline, Now));
  Into.set_idempotent(isIdempotent(Request.Method));
  Into.set_has_content_format(Request.ContentFormat.has_value());
  Into.set_content_format(Request.ContentFormat.value_or(0));
}

Work workOf(const wire::Spill &Value, ServiceId Service, TimePoint Now) {
  const wire::UpstreamRequest &Request = Value.request();
  Work Result;
  Result.Flow.Service = Service;
  Result.Flow.Caller = {Value.flow().caller_ip(),
                        static_cast<uint16_t>(Value.flow().caller_port())};
  Result.Method = static_cast<Code>(Request.method());
  Result.Path = Request.path();
  Result.Query = Request.query();
  Result.Body = Request.body();
  if (Request.has_content_format())
    Result.ContentFormat = static_cast<uint16_t>(Request.content_format());
  Result.Deadline = Now + std::chrono::milliseconds(Request.timeout_ms());
  return Result;
}

} // namespace dragonflystall
