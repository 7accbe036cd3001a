// The text for operators of a balancer's answer to GET /where.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_WHERETEXT_H
#define DRAGONFLYSTALL_SRC_OBSERVE_WHERETEXT_H

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace dragonflystall {

/// Whether the value is an answer to GET /where. Other programs may answer the
/// path in their own way.
bool isWhereAnswer(const nlohmann::json &Answer);

/// The outcome for the flow, the candidates in order with what decides on their
/// ranks, and the agents that are left out with the reason. Fields that a
/// balancer of another version doesn't send are shown as "-". Throws
/// nlohmann::json::exception if a field is of another type.
std::string toWhereText(const nlohmann::json &Answer);

} // namespace dragonflystall

#endif
