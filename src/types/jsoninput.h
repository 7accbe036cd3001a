// Reading JSON that another process has written. Whatever the text, reading it
// neither ends this process nor takes more memory than the limits allow.
#ifndef DRAGONFLYSTALL_SRC_TYPES_JSONINPUT_H
#define DRAGONFLYSTALL_SRC_TYPES_JSONINPUT_H

#include "dragonflystall/types.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dragonflystall {

/// What is over these limits is not read.
struct JsonLimits {
  size_t MaxBytes = 1 << 20;
  /// Arrays and objects within each other. Copying and printing a document
  /// takes stack for each.
  size_t MaxDepth = 32;
};

/// Limit on a name: of an object, a host, a service or an upstream.
constexpr size_t MaxNameBytes = 256;
/// Limit on a length of time that another process reports. Longer ones are
/// taken for this.
constexpr Duration MaxReportedTime = std::chrono::hours(24);

/// The error is a short text for the log.
tl::expected<nlohmann::json, std::string> parseJson(std::string_view Text,
                                                    JsonLimits Limits = {});

/// Whether a text consists of whole UTF-8 characters.
bool isUtf8(std::string_view Text);

/// Converts a number of milliseconds. Numbers below zero, and those that are no
/// numbers, are taken for zero, longer times than MaxReportedTime for that.
Duration reportedMilliseconds(double Count);

} // namespace dragonflystall

#endif
