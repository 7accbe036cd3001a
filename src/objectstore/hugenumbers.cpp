// Searches a JSON text for numbers past the range of a double.
#include "objectstore/hugenumbers.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace dragonflystall {

namespace {

bool beginsNumber(char C) { return C == '-' || (C >= '0' && C <= '9'); }

/// The end of the string whose opening quote is at Begin.
size_t endOfString(std::string_view Text, size_t Begin) {
  size_t At = Begin + 1;
  while (At < Text.size() && Text[At] != '"')
    At += Text[At] == '\\' ? 2 : 1;
  return std::min(At + 1, Text.size());
}

size_t endOfNumber(std::string_view Text, size_t Begin) {
  const size_t End = Text.find_first_not_of("0123456789+-.eE", Begin);
  return std::min(End, Text.size());
}

bool isHuge(const std::string &Number) {
  return std::isinf(std::strtod(Number.c_str(), nullptr));
}

} // namespace

std::string withoutHugeNumbers(std::string_view Text) {
  std::string Result;
  Result.reserve(Text.size());
  for (size_t At = 0; At < Text.size();) {
    const size_t Begin = At;
    const bool IsNumber = beginsNumber(Text[Begin]);
    At = IsNumber             ? endOfNumber(Text, Begin)
         : Text[Begin] == '"' ? endOfString(Text, Begin)
                              : Begin + 1;
    const std::string Part(Text.substr(Begin, At - Begin));
    Result += IsNumber && isHuge(Part) ? "null" : Part;
  }
  return Result;
}

} // namespace dragonflystall
