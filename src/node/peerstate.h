// The state that a process serves to its peers over HTTP, for those that can't
// reach the store or are behind, and the JSON form of an agent's entry, which
// the store's objects have too.
#ifndef DRAGONFLYSTALL_SRC_NODE_PEERSTATE_H
#define DRAGONFLYSTALL_SRC_NODE_PEERSTATE_H

#include "opaque/control.h"
#include "shell/http.h"

#include <nlohmann/json_fwd.hpp>

namespace dragonflystall::node {

/// What a process knows, for peers that are behind it.
struct PeerState {
  std::string ManifestContent; ///< Empty when not known.
  opaque::Evacuations Evacuations;
  opaque::AgentList Agents;
  opaque::RouteHistoryState History;
  size_t Skipped = 0; ///< Agents that could not be read; not encoded.
};
/// The path of the state, which every process serves to its peers.
constexpr std::string_view PeerStatePath = "/state";
/// What a call for the state asks for.
enum class PeerStateParts : uint8_t {
  Configuration, ///< Without the agents.
  All,
};
HttpRequest peerStateCall(PeerStateParts Parts);
/// Processes of earlier versions ask for all.
PeerStateParts partsOf(const HttpRequest &Request);
std::string encodePeerState(const PeerState &State);
std::optional<PeerState> decodePeerState(const std::string &Body);

nlohmann::json toJson(const opaque::AgentEntry &Entry);
/// Throws nlohmann::json::exception if a field is missing or malformed.
opaque::AgentEntry toAgent(const nlohmann::json &Value, std::string Name);

} // namespace dragonflystall::node

#endif
