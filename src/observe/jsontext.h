// JSON text written by hand where a document model would cost too much.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_JSONTEXT_H
#define DRAGONFLYSTALL_SRC_OBSERVE_JSONTEXT_H

#include <string>
#include <string_view>

namespace dragonflystall {

/// The text quoted and escaped. Bytes that are no UTF-8 are replaced.
std::string jsonString(std::string_view Text);

} // namespace dragonflystall

#endif
