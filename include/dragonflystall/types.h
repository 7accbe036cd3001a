// Small value types and constants that every slice shares: addresses,
// identities, flows, verdicts, phases and time.
#ifndef DRAGONFLYSTALL_TYPES_H
#define DRAGONFLYSTALL_TYPES_H

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystall {

using Duration = std::chrono::nanoseconds;
/// A reading of the clock that is passed in. Monotonic and local to a process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""min;

/// An IPv4 address and a UDP or TCP port, both in host byte order.
struct Endpoint {
  uint32_t Ip = 0;
  uint16_t Port = 0;
  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
  /// False for the default value, which stands for "no address".
  explicit operator bool() const { return Ip != 0; }
};

/// Parses "127.0.0.1:5683"; std::nullopt when the text is anything else.
std::optional<Endpoint> parseEndpoint(std::string_view Text);
std::string toString(Endpoint Address);
/// "127.0.0.1", of an address in host byte order.
std::string ipText(uint32_t Ip);

/// An IPv4 network in CIDR notation.
struct Network {
  uint32_t Ip = 0;
  uint8_t PrefixBits = 32;
  friend auto operator<=>(const Network &, const Network &) = default;
  bool contains(uint32_t Address) const;
};

/// Parses "127.1.1.0/24"; std::nullopt when the text is anything else.
std::optional<Network> parseNetwork(std::string_view Text);
std::string toString(Network Net);

/// A service's identity on the wire: a 64-bit hash of "team/name".
enum class ServiceId : uint64_t { None = 0 };
/// An agent's identity, unique within its service: a 32-bit hash of its name.
enum class AgentId : uint32_t { None = 0 };
/// Drawn at random when a process starts, so that a restart is never mistaken
/// for the process that it replaced.
enum class Incarnation : uint64_t { None = 0 };

ServiceId serviceId(std::string_view Team, std::string_view Name);
AgentId agentId(std::string_view Name);

/// One agent process, this very start of it.
struct AgentRef {
  AgentId Id = AgentId::None;
  Incarnation Start = Incarnation::None;
  friend auto operator<=>(const AgentRef &, const AgentRef &) = default;
};

/// A flow: everything that one caller address sends to one service.
struct FlowKey {
  ServiceId Service = ServiceId::None;
  Endpoint Caller;
  friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
};

/// 64 well mixed bits of a flow, the same in every process (xxHash).
uint64_t hashFlow(const FlowKey &Flow);

struct FlowKeyHash {
  size_t operator()(const FlowKey &Flow) const { return hashFlow(Flow); }
};

/// What is known of a request's execution. Every answer and error carries one.
enum class Verdict : uint8_t {
  NotRun,     ///< Certain: it did not run and never will.
  Ran,        ///< Certain: it ran and this is its outcome.
  MayHaveRun, ///< Unknown: the evidence was lost.
};

constexpr std::array<std::string_view, 3> VerdictNames = {"not-run", "ran",
                                                          "may-have-run"};
constexpr std::string_view name(Verdict V) {
  return VerdictNames[static_cast<size_t>(V)];
}

/// An agent's phase in its service's roster.
enum class AgentPhase : uint8_t {
  Serving, ///< Takes new flows and requests.
  Leaving, ///< Hands its flows over; takes nothing new.
};

constexpr std::array<std::string_view, 2> AgentPhaseNames = {"serving",
                                                             "leaving"};
constexpr std::string_view name(AgentPhase P) {
  return AgentPhaseNames[static_cast<size_t>(P)];
}

} // namespace dragonflystall

#endif
