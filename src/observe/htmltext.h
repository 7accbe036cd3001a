// Escaping of text for HTML pages.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_HTMLTEXT_H
#define DRAGONFLYSTALL_SRC_OBSERVE_HTMLTEXT_H

#include <string>

namespace dragonflystall {

/// Replaces the characters <, >, & and " by HTML entities.
std::string escapeHtml(const std::string &Text);

} // namespace dragonflystall

#endif
