// Reads the stand-in upstream's answers: one JSON line, repeated in large ones.
#include "load/answercheck.h"

#include <nlohmann/json.hpp>

namespace dragonflystall::load {

namespace {

bool repeatsLine(const std::string &Body, size_t LineBytes) {
  for (size_t I = LineBytes; I < Body.size(); ++I)
    if (Body[I] != Body[I - LineBytes])
      return false;
  return true;
}

} // namespace

AnswerCheck checkAnswer(const std::string &Body, const Expectation &Expected) {
  AnswerCheck Check;
  const size_t LineEnd = Body.find('\n');
  if (LineEnd == std::string::npos)
    return Check;
  const auto Line =
      nlohmann::json::parse(Body.substr(0, LineEnd), nullptr, false);
  if (!Line.is_object())
    return Check;
  Check.Upstream = Line.value("upstream", "");
  if (Line.value("service", "") != Expected.Service) {
    Check.Result = Correctness::Misdelivered;
    return Check;
  }
  const std::string Caller = toString(Expected.Caller);
  if (Line.value("key", "") != Expected.Key ||
      Line.value("caller", Caller) != Caller) {
    Check.Result = Correctness::OtherRequest;
    return Check;
  }
  const size_t LineBytes = LineEnd + 1;
  const size_t Bytes = std::max(Expected.Bytes, LineBytes);
  if (Body.size() == Bytes && repeatsLine(Body, LineBytes))
    Check.Result = Correctness::Right;
  return Check;
}

} // namespace dragonflystall::load
