// Text for HTML pages.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_HTMLTEXT_H
#define DRAGONFLYSTALL_SRC_OBSERVE_HTMLTEXT_H

#include <string>

namespace dragonflystall {

/// The text with the characters that HTML gives a meaning replaced.
std::string escapeHtml(const std::string &Text);

} // namespace dragonflystall

#endif
