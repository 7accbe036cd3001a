// Messages between balancers and agents of opaque flows, and their encoding
// (CBOR). They are sent over UDP: each stands alone, and a lost one is made up
// for by the next.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_CONTROL_H
#define DRAGONFLYSTALL_SRC_OPAQUE_CONTROL_H

#include "opaque/manifest.h"
#include "opaque/packet.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace dragonflystall::opaque {

/// What a process knows of the configuration, so that the other side can tell
/// which of the two is behind.
struct Knowledge {
  int64_t ManifestVersion = 0;
  int64_t EvacuationRevision = 0;
  /// Hash of the zones that are out: revisions alone differ all the time.
  uint32_t EvacuatedZones = 0;
};

Knowledge knowledgeOf(const Configuration &Config);
/// Whether the other side knows of something newer than we do.
bool behind(const Knowledge &Ours, const Knowledge &Theirs);

/// How agents are listed in the store and told to balancers.
struct AgentEntry {
  std::string Name;
  std::string Service;
  std::string Zone;
  /// Where packets of its flows go (UDP).
  Endpoint Packets;
  /// Where control messages go (UDP); its peers' HTTP interface has the address
  /// of Packets and the first port between nodes.
  Endpoint Control;
  friend bool operator==(const AgentEntry &, const AgentEntry &) = default;
};

/// Balancer to agent, periodically: are you alive, and what can you take?
struct Ping {
  std::string Name; ///< The agent that is meant.
  uint64_t Number = 0;
  Knowledge Knows;
  /// The store's revision up to which the balancer has seen the list of agents
  /// while the entry was missing in it; 0 when it is listed, or not known.
  int64_t MissingAsOf = 0;
  /// The balancer's HTTP address for its peers.
  Endpoint Http;
};

/// Why an agent takes flows or not.
enum class Intake : uint8_t {
  Open,      ///< Takes new flows.
  Cold,      ///< Takes a few new flows each second.
  Draining,  ///< The upstream is leaving.
  Evacuated, ///< The availability zone was taken out.
  Silent,    ///< Nothing was heard of the upstream lately, or ever.
  Unready,   ///< The agent has no manifest yet.
  Stopping,  ///< The agent itself is about to stop.
  Ended,     ///< There is no upstream any more, and no flow.
};
constexpr std::array<std::string_view, 8> IntakeNames = {
    "open",   "cold",    "draining", "evacuated",
    "silent", "unready", "stopping", "ended"};
constexpr std::string_view name(Intake I) {
  return IntakeNames[static_cast<size_t>(I)];
}

/// Agent to balancer, in answer to a ping or when Intake changes.
struct Pong {
  std::string Name;
  std::string Service;
  uint64_t Number = 0; ///< Of the ping; 0 when unasked.
  Knowledge Knows;
  Intake State = Intake::Unready;
  /// How long the upstream stays cold, in whole milliseconds; 0 when it is not
  /// cold, or when that is not known.
  Duration ColdFor{};
  uint32_t Slots = 1;
  uint32_t OpenFlows = 0;
  /// Requests in progress: now, or on average over about a second if that is
  /// more.
  double Busy = 0;
  /// Share of the requests that failed lately, 0 to 1.
  double Failing = 0;
  Endpoint Http;
};

/// Balancer to agent: does your upstream hold this flow?
struct Find {
  FlowId Flow;
};

enum class Holding : uint8_t {
  Holds,  ///< The upstream has answered on the flow.
  Denies, ///< The upstream does not hold it.
  Unsure, ///< Only the upstream can tell: offer it a packet.
};
constexpr std::array<std::string_view, 3> HoldingNames = {"holds", "denies",
                                                          "unsure"};
constexpr std::string_view name(Holding H) {
  return HoldingNames[static_cast<size_t>(H)];
}

/// Agent to balancer: the answer to Find; also unasked, when a flow turns out
/// to be held where its balancer did not expect it.
struct Located {
  std::string Name;
  FlowId Flow;
  Holding Verdict = Holding::Unsure;
};

/// Agent to a seed: I can't be listed in the store at the moment.
struct Hello {
  AgentEntry Entry;
};

using ControlMessage = std::variant<Ping, Pong, Find, Located, Hello>;

std::string encode(const ControlMessage &Message);
/// std::nullopt for anything that is no such message.
std::optional<ControlMessage> decodeControl(std::string_view Bytes);

} // namespace dragonflystall::opaque

#endif
