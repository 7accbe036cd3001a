// Checks that an answer is whole and is the answer to this very request.
#ifndef DRAGONFLYSTALL_SRC_LOAD_ANSWERCHECK_H
#define DRAGONFLYSTALL_SRC_LOAD_ANSWERCHECK_H

#include "dragonflystall/types.h"

#include <array>
#include <string>
#include <string_view>

namespace dragonflystall::load {

enum class Correctness : uint8_t {
  Right,
  Incomplete,   ///< Bytes are missing, or it is none of the stand-in's answers.
  OtherRequest, ///< It answers another request or another caller.
  Misdelivered, ///< Another service answered.
};

constexpr std::array<std::string_view, 4> CorrectnessNames = {
    "right", "incomplete", "other-request", "misdelivered"};
constexpr std::string_view name(Correctness C) {
  return CorrectnessNames[static_cast<size_t>(C)];
}

struct Expectation {
  std::string_view Service;
  std::string_view Key;
  Endpoint Caller;
  size_t Bytes = 0; ///< 0: one line.
};

struct AnswerCheck {
  Correctness Result = Correctness::Incomplete;
  std::string Upstream; ///< Who answered; empty when that is unreadable.
};

AnswerCheck checkAnswer(const std::string &Body, const Expectation &Expected);

} // namespace dragonflystall::load

#endif
