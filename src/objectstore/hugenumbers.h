// Numbers in JSON that are past the range of a double. The parser refuses the
// whole text for one of them, and with it what others have written beside it.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_HUGENUMBERS_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_HUGENUMBERS_H

#include <string>
#include <string_view>

namespace dragonflystall {

/// The text with "null" in place of each such number, which no reader takes for
/// a number. Strings are left as they are.
std::string withoutHugeNumbers(std::string_view Text);

} // namespace dragonflystall

#endif
