// Control messages between balancers and agents of opaque flows, encoded in
// CBOR and sent over UDP. Messages are independent of each other, and the next
// one makes up for a lost one.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_CONTROL_H
#define DRAGONFLYSTALL_SRC_OPAQUE_CONTROL_H

#include "opaque/manifest.h"
#include "opaque/packet.h"
#include "opaque/storereaders.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonflystall::opaque {

/// The configuration versions of a process, by which the receiver can tell
/// which of the two has the older configuration.
struct ConfigVersions {
  int64_t ManifestVersion = 0;
  StoreRevision EvacuationRevision;
  /// Hash of the evacuated zones, since the revision alone changes all the
  /// time.
  uint32_t EvacuatedZones = 0;
  /// See EvacuatedZones::pastRevisions.
  std::vector<StoreRevision> PastRevisions = {};
};

ConfigVersions configVersionsOf(const Configuration &Config);
/// Whether the other process has a newer configuration than this one.
bool isBehind(const ConfigVersions &Ours, const ConfigVersions &Theirs);

/// Entry of an agent in the store and in messages to balancers.
struct AgentEntry {
  std::string Name;
  std::string Service;
  std::string Zone;
  /// Address for packets of its flows (UDP).
  Endpoint Packets;
  /// Address for control messages (UDP). The HTTP interface for peers has the
  /// IP address of Packets and the first port between nodes.
  Endpoint Control;
  friend bool operator==(const AgentEntry &, const AgentEntry &) = default;
};

/// A hash of all fields that is the same in every process, and never 0.
uint32_t hashOf(const AgentEntry &Entry);

/// The agents that a process knows, listed in the store or not.
struct AgentList {
  std::vector<AgentEntry> Entries;
  /// Whether the process has read the store's list of agents and knows of no
  /// restore that is not settled. The list may be outdated.
  bool IsComplete = false;
  friend bool operator==(const AgentList &, const AgentList &) = default;
};

/// Balancer to agent, periodically: requests a Pong with the agent's state.
struct Ping {
  std::string Name; ///< The agent that is addressed.
  uint64_t Number = 0;
  ConfigVersions Versions;
  /// The store revision of a list of agents in which the balancer found no
  /// entry of the agent; not set if the agent is listed or the list is not
  /// known.
  StoreRevision MissingAsOf;
  /// The revision of the newest entry of an agent that the balancer knows.
  StoreRevision NewestEntry = {};
  /// The balancer's HTTP address for peers.
  Endpoint Http;
  /// What the agents rank the balancer by.
  PingingBalancer Sender = {};
  /// If the agent is Intake::Unlisted and the balancer has read its entry from
  /// the store: the entry (see hashOf) and its revision there.
  uint32_t ListedEntry = 0;
  StoreRevision ListedRevision = {};
};

/// Whether an agent takes new flows, and if not, why.
enum class Intake : uint8_t {
  Open,      ///< Takes new flows.
  Cold,      ///< Takes a few new flows each second.
  Draining,  ///< The upstream is draining.
  Evacuated, ///< The availability zone is evacuated.
  Silent,    ///< The upstream has sent nothing recently, or ever.
  Unready,   ///< The agent does not know manifest and evacuations yet.
  Stopping,  ///< The agent itself is stopping.
  Ended,     ///< The upstream and its flows no longer exist.
  Unlisted,  ///< The agent does not know that the store has its entry.
};
constexpr std::array<std::string_view, 9> IntakeNames = {
    "open",    "cold",     "draining", "evacuated", "silent",
    "unready", "stopping", "ended",    "unlisted"};
constexpr std::string_view name(Intake I) {
  return IntakeNames[static_cast<size_t>(I)];
}

/// Agent to balancer, in answer to a ping or when the intake state changes.
struct Pong {
  std::string Name;
  std::string Service;
  uint64_t Number = 0; ///< Number of the ping; 0 if unsolicited.
  ConfigVersions Versions;
  Intake State = Intake::Unready;
  /// Remaining time of the upstream's cold start, in whole milliseconds; 0 if
  /// it is not cold or the time is not known.
  Duration ColdFor{};
  uint32_t Slots = 1;
  uint32_t OpenFlows = 0;
  /// Requests in progress: the larger of the present number and the average
  /// over about a second.
  double Busy = 0;
  /// Share of recent requests that failed, 0 to 1.
  double FailureShare = 0;
  Endpoint Http;
  /// Number of balancers that come before the receiver; see StoreReader.
  uint32_t Rank = 0;
  /// How long the upstream works on a request, in whole milliseconds; 0 if not
  /// known. See Outcomes::workTime.
  Duration WorkTime = {};
  /// Requests begun per second, on all flows.
  double RequestRate = 0;
};

/// Balancer to agent: asks whether the agent's upstream holds the flow.
struct Find {
  FlowId Flow;
};

enum class Holding : uint8_t {
  Holds,  ///< The upstream has answered on the flow.
  Denies, ///< The upstream does not hold it.
  Unsure, ///< Unknown to the agent: offer the upstream a packet.
};
constexpr std::array<std::string_view, 3> HoldingNames = {"holds", "denies",
                                                          "unsure"};
constexpr std::string_view name(Holding H) {
  return HoldingNames[static_cast<size_t>(H)];
}

/// Agent to balancer: the answer to Find; also unsolicited, when the agent's
/// upstream answers on a flow whose balancer did not know the holder.
struct Located {
  std::string Name;
  FlowId Flow;
  Holding Verdict = Holding::Unsure;
  /// The revision of the newest entry of an agent that any balancer has
  /// reported. A balancer that knows only older ones may not know the holder.
  StoreRevision NewestEntry = {};
  /// The newest version of the manifest that the agent or any balancer has. A
  /// balancer with an older one may not know the holder's service.
  int64_t NewestManifest = 0;
  /// The agent's SettledEra; 0 if not known. Agents that are missing from the
  /// lists of a later era may hold the flow.
  int64_t SettledEra = 0;
};

/// Agent to a seed balancer, while the agent can't be listed in the store.
struct Hello {
  AgentEntry Entry;
};

using ControlMessage = std::variant<Ping, Pong, Find, Located, Hello>;

/// Limit on an encoded message; no datagram is longer.
constexpr size_t MaxControlBytes = 2048;

std::string encode(const ControlMessage &Message);
/// Returns std::nullopt if the bytes are not a valid control message.
std::optional<ControlMessage> decodeControl(std::string_view Bytes);

} // namespace dragonflystall::opaque

#endif
