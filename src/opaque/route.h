// A route of the manifest: the services that take its new flows, and in which
// proportion.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_ROUTE_H
#define DRAGONFLYSTALL_SRC_OPAQUE_ROUTE_H

#include "dragonflystall/types.h"

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflystall::opaque {

struct EndpointHash {
  size_t operator()(Endpoint E) const {
    return std::hash<uint64_t>()(uint64_t{E.Ip} << 16 | E.Port);
  }
};

/// A service that a route names.
struct WeightedService {
  std::string Name;
  /// The service's share of the new flows, relative to the route's other
  /// services. 0: it takes no new flows, and keeps its open ones.
  double Weight = 1;
  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

/// What the requests of a route are, as the manifest says.
enum class RequestKind : uint8_t {
  Idempotent,    ///< May be repeated.
  NonIdempotent, ///< May run once at most.
  Download,      ///< Idempotent, with a large answer.
  Upload,        ///< A large request, which may run once at most.
};
constexpr std::array<std::string_view, 4> RequestKindNames = {
    "idempotent", "non-idempotent", "download", "upload"};
constexpr std::string_view name(RequestKind K) {
  return RequestKindNames[static_cast<size_t>(K)];
}
/// Whether a request of this kind may be repeated after any failure.
constexpr bool isRepeatable(RequestKind K) {
  return K == RequestKind::Idempotent || K == RequestKind::Download;
}

struct Route {
  /// Never empty in a decoded manifest.
  std::vector<WeightedService> Services;
  /// A caller's timeout for the answer to a request; 0 if not given.
  Duration Timeout{};
  uint32_t Priority = 0; ///< 0 is the most urgent.
  /// The response time that callers expect; 0 if not given.
  Duration Aim{};
  /// Requests of a route without a kind may not be repeated.
  RequestKind Kind = RequestKind::NonIdempotent;

  /// Whether the route names the service, with whatever weight.
  bool names(const std::string &Service) const;
  /// Whether new flows of the route may go to the service.
  bool sendsTo(const std::string &Service) const;
  /// The services that take new flows, in the order in which a flow with this
  /// hash prefers them. The order depends on nothing else, so all balancers
  /// agree on it, and over all flows each service comes first in proportion to
  /// its weight. A change of the weights moves as few flows as possible.
  std::vector<const WeightedService *> preferenceOf(uint64_t FlowHash) const;
};

using RouteMap = std::unordered_map<Endpoint, Route, EndpointHash>;

} // namespace dragonflystall::opaque

#endif
