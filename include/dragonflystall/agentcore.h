// The agent core's interface: the events that the shell passes to it and the
// actions that the shell performs for it.
#ifndef DRAGONFLYSTALL_AGENTCORE_H
#define DRAGONFLYSTALL_AGENTCORE_H

#include "dragonflystall/balancercore.h"
#include "dragonflystall/message.h"

#include <string>
#include <variant>
#include <vector>

namespace dragonflystall::wire {
class ControlMessage;
} // namespace dragonflystall::wire

namespace dragonflystall {

/// The agent's identity and service, set when the process starts.
struct AgentIdentity {
  RosterEntry Self;
  std::string Team;
  std::string Service;
};

/// A packet on the data port whose payload the CoAP edge has decoded. Payload
/// keeps the caller's datagram for forwarding.
struct AgentPacket {
  Endpoint From;
  PacketHeader Header;
  std::string Payload;
  Message Decoded;
};

/// Identifies one execution at the local upstream.
enum class RunId : uint64_t { None = 0 };

enum class UpstreamOutcome : uint8_t {
  Answered, ///< A complete answer was received; the request ran.
  Shed,     ///< The upstream refused it before running it.
  Refused,  ///< The connection failed; nothing was sent.
  Failed,   ///< The connection broke after the request was sent.
  TimedOut, ///< No answer in time; the request was cancelled.
};

constexpr std::array<std::string_view, 5> UpstreamOutcomeNames = {
    "answered", "shed", "refused", "failed", "timed-out"};
constexpr std::string_view name(UpstreamOutcome Outcome) {
  return UpstreamOutcomeNames[static_cast<size_t>(Outcome)];
}

struct UpstreamAnswer {
  RunId Run = RunId::None;
  UpstreamOutcome Outcome = UpstreamOutcome::Failed;
  int HttpStatus = 0;
  std::string Body;
  std::string ContentType;
  std::optional<Duration> RetryAfter;
};

/// The last answers of the upstream's health and load endpoints. Only a hint:
/// they may be outdated or wrong.
struct UpstreamHint {
  bool Healthy = true;
  bool Draining = false;
  uint32_t Load = 0; ///< Percent of its capacity, as the upstream reports it.
};

/// The result of an UpdateRoster. After Conflict and Unknown, Stored is the
/// current object if it could be read again.
struct RosterWritten {
  enum class Result : uint8_t { Written, Conflict, Unknown } Outcome;
  Roster Stored;
};

/// The operator or the service manager requests a graceful shutdown.
struct StopRequested {};

/// A message from another process, received over ZeroMQ. Shared, since it is
/// large.
struct PeerMessage {
  std::shared_ptr<const wire::ControlMessage> Value;
};

using AgentEvent = std::variant<AgentPacket, PeerMessage, UpstreamAnswer,
                                UpstreamHint, RosterUpdate, RosterWritten,
                                SettingsUpdate, StopRequested, Tick>;

/// Send header and payload over UDP to a balancer or an agent.
struct SendDatagram {
  Endpoint To;
  PacketHeader Header;
  std::string Payload;
};
/// Encode the message as CoAP and send it as the payload.
struct SendMessage {
  Endpoint To;
  PacketHeader Header;
  Message Value;
};
/// Send the message over ZeroMQ to another process.
struct SendPeer {
  Endpoint To; ///< The peer's control address.
  std::shared_ptr<const wire::ControlMessage> Value;
};
/// Run a request at the local upstream; an UpstreamAnswer follows.
struct RunUpstream {
  RunId Run = RunId::None;
  Endpoint Caller;
  Code Method = Code::Get;
  std::string Path;
  std::string Query;
  std::string Body;
  std::optional<uint16_t> ContentFormat;
  Duration Timeout{};
};
/// Cancel a request at the local upstream.
struct CancelUpstream {
  RunId Run = RunId::None;
};
/// Conditional update of the roster object: succeeds only if the stored
/// version is Expected (0: the object does not exist).
struct UpdateRoster {
  uint64_t Expected = 0;
  Roster Value;
};
/// All flows are handed over and all requests answered: the process may exit.
struct StopComplete {};

using AgentAction = std::variant<SendDatagram, SendMessage, SendPeer,
                                 RunUpstream, CancelUpstream, UpdateRoster,
                                 FetchRoster, StopComplete, Event>;
using AgentActions = std::vector<AgentAction>;

} // namespace dragonflystall

#endif
