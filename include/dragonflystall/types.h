// Value types that all parts share: addresses, identities, flows, verdicts,
// phases and time.
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
/// A time point of a Clock. Monotonic and local to a process.
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

/// Parses an address such as "127.0.0.1:5683"; std::nullopt for any other text.
std::optional<Endpoint> parseEndpoint(std::string_view Text);
std::string toString(Endpoint Address);
/// The text form, such as "127.0.0.1", of an address in host byte order.
std::string ipText(uint32_t Ip);

/// An IPv4 network in CIDR notation.
struct Network {
  uint32_t Ip = 0;
  uint8_t PrefixBits = 32;
  friend auto operator<=>(const Network &, const Network &) = default;
  bool contains(uint32_t Address) const;
};

/// Parses a network such as "127.1.1.0/24"; std::nullopt for any other text.
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

/// One incarnation of an agent process.
struct AgentRef {
  AgentId Id = AgentId::None;
  Incarnation Start = Incarnation::None;
  friend auto operator<=>(const AgentRef &, const AgentRef &) = default;
};

/// A flow: all packets that one caller address sends to one service.
struct FlowKey {
  ServiceId Service = ServiceId::None;
  Endpoint Caller;
  friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
};

/// A 64-bit hash of a flow (xxHash), equal in every process. All bits are well
/// mixed: any of them may serve as an index.
uint64_t hashFlow(const FlowKey &Flow);

struct FlowKeyHash {
  size_t operator()(const FlowKey &Flow) const { return hashFlow(Flow); }
};

/// Whether a request ran. Every answer and error contains a verdict.
enum class Verdict : uint8_t {
  NotRun,     ///< It certainly did not run and never will.
  Ran,        ///< It certainly ran, and the answer is its outcome.
  MayHaveRun, ///< Unknown, as the record of its execution was lost.
};

constexpr std::array<std::string_view, 3> VerdictNames = {"not-run", "ran",
                                                          "may-have-run"};
constexpr std::string_view name(Verdict Value) {
  return VerdictNames[static_cast<size_t>(Value)];
}

/// An agent's phase in its service's roster.
enum class AgentPhase : uint8_t {
  Serving, ///< Accepts new flows and requests.
  Leaving, ///< Hands its flows over; accepts no new flows and requests.
};

constexpr std::array<std::string_view, 2> AgentPhaseNames = {"serving",
                                                             "leaving"};
constexpr std::string_view name(AgentPhase Phase) {
  return AgentPhaseNames[static_cast<size_t>(Phase)];
}

} // namespace dragonflystall

#endif
