// Replaces special characters by HTML entities.
#include "observe/htmltext.h"

namespace dragonflystall {

std::string escapeHtml(const std::string &Text) {
  std::string Escaped;
  for (char C : Text) {
    switch (C) {
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '&':
      Escaped += "&amp;";
      break;
    case '"':
      Escaped += "&quot;";
      break;
    default:
      Escaped += C;
    }
  }
  return Escaped;
}

} // namespace dragonflystall
