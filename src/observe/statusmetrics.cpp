// Converts numbers and booleans of the status object to gauges.
#include "observe/statusmetrics.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflystall {

std::string statusMetrics(const std::string &StatusJson) {
  const auto Status = nlohmann::json::parse(StatusJson, nullptr, false);
  std::string Text;
  if (!Status.is_object())
    return Text;
  for (const auto &[Name, Value] : Status.items()) {
    if (!Value.is_number() && !Value.is_boolean())
      continue;
    const std::string Number =
        Value.is_boolean() ? (Value.get<bool>() ? "1" : "0") : Value.dump();
    Text += fmt::format("# TYPE dragonflystall_{0} gauge\n"
                        "dragonflystall_{0} {1}\n",
                        Name, Number);
  }
  return Text;
}

} // namespace dragonflystall
