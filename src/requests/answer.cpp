// Converts answers between HTTP, CoAP and control messages.
#include "answer.h"

#include "contentformat.h"

namespace dragonflystall {

namespace {

constexpr int HttpServerError = 500;

Code codeOf(int HttpStatus) {
  switch (HttpStatus) {
  case 200:
    return Code::Content;
  case 201:
    return Code::Created;
  case 202:
  case 204:
    return Code::Changed;
  case 404:
    return Code::NotFound;
  case 413:
    return Code::RequestEntityTooLarge;
  case 429:
    return Code::TooManyRequests;
  case 502:
    return Code::BadGateway;
  case 503:
    return Code::ServiceUnavailable;
  case 504:
    return Code::GatewayTimeout;
  default:
    break;
  }
  if (HttpStatus < 300)
    return Code::Content;
  return HttpStatus < HttpServerError ? Code::BadRequest
                                      : Code::InternalServerError;
}

/// A server error does not show whether the request was executed.
Verdict verdictOf(int HttpStatus) {
  return HttpStatus < HttpServerError ? Verdict::Ran : Verdict::MayHaveRun;
}

} // namespace

Answer refusal(Verdict Outcome, Duration RetryAfter) {
  Answer Result = bareAnswer(Code::ServiceUnavailable, Outcome);
  Result.MaxAge = RetryAfter;
  return Result;
}

Answer bareAnswer(Code Kind, Verdict Outcome) {
  Answer Result;
  Result.Kind = Kind;
  Result.Verdict = Outcome;
  Result.Body = std::make_shared<const std::string>(name(Outcome));
  return Result;
}

Answer answerOf(const UpstreamAnswer &Upstream) {
  Answer Result;
  Result.Kind = codeOf(Upstream.HttpStatus);
  Result.Verdict = verdictOf(Upstream.HttpStatus);
  Result.ContentFormat = contentFormatOf(Upstream.ContentType);
  Result.Body = std::make_shared<const std::string>(Upstream.Body);
  return Result;
}

wire::Answer toWire(const Answer &Value) {
  wire::Answer Result;
  Result.set_code(static_cast<uint32_t>(Value.Kind));
  Result.set_verdict(static_cast<uint32_t>(Value.Verdict));
  if (Value.Body)
    Result.set_payload(*Value.Body);
  Result.set_has_content_format(Value.ContentFormat.has_value());
  Result.set_content_format(Value.ContentFormat.value_or(0));
  if (Value.MaxAge)
    Result.set_max_age_s(static_cast<uint32_t>(
        std::chrono::ceil<std::chrono::seconds>(*Value.MaxAge).count()));
  return Result;
}

Answer fromWire(const wire::Answer &Value) {
  if (Value.verdict() >= VerdictNames.size() || Value.code() > UINT8_MAX)
    return bareAnswer(Code::BadGateway, Verdict::MayHaveRun);
  Answer Result;
  Result.Kind = static_cast<Code>(Value.code());
  Result.Verdict = static_cast<Verdict>(Value.verdict());
  if (Value.has_content_format())
    Result.ContentFormat = static_cast<uint16_t>(Value.content_format());
  if (Value.max_age_s() > 0)
    Result.MaxAge = std::chrono::seconds(Value.max_age_s());
  Result.Body = std::make_shared<const std::string>(Value.payload());
  return Result;
}

void fillMessage(const Answer &Value, Message &Into) {
  Into.Kind = Value.Kind;
  Into.Verdict = Value.Verdict;
  Into.ContentFormat = Value.ContentFormat;
  Into.MaxAge = Value.MaxAge;
}

} // namespace dragonflystall
