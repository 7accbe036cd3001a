// Quoting of JSON strings.
#include "observe/jsontext.h"

#include <fmt/format.h>

namespace dragonflystall {

std::string jsonString(std::string_view Text) {
  constexpr char FirstPrintable = 0x20;
  std::string Quoted = "\"";
  for (char C : Text) {
    if (C == '"' || C == '\\')
      Quoted.append({'\\', C});
    else if (C >= 0 && C < FirstPrintable)
      Quoted += fmt::format("\\u{:04x}", static_cast<int>(C));
    else
      Quoted += C;
  }
  Quoted += '"';
  return Quoted;
}

} // namespace dragonflystall
