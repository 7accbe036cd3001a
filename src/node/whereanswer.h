// The answer of a balancer to GET /where: where a new flow to a route would go
// now, and why, as JSON for operators.
#ifndef DRAGONFLYSTALL_SRC_NODE_WHEREANSWER_H
#define DRAGONFLYSTALL_SRC_NODE_WHEREANSWER_H

#include "opaque/manifest.h"
#include "opaque/placement.h"
#include "shell/http.h"

namespace dragonflystall::opaque {
class Steering;
} // namespace dragonflystall::opaque

namespace dragonflystall::node {

constexpr std::string_view WherePath = "/where";

/// What is asked: /where?route=ADDRESS:PORT, and &flow=ADDRESS:PORT with the
/// caller's address if it is known.
struct WhereQuery {
  Endpoint Route;
  std::optional<Endpoint> Caller;
};
/// The error says which part of the query is wrong.
tl::expected<WhereQuery, std::string>
decodeWhereQuery(const std::string &Target);

/// What the balancer adds to the explanation.
struct WhereContext {
  std::string Name;
  std::string Zone;
  const opaque::Manifest &Manifest;
  /// The limit on new flows of cold upstreams in this balancer's settings; see
  /// opaque::coldLimitOf.
  double ColdFactor = 1;
  double ColdSlack = 0;
};

/// Of each service, at most this number of candidates, and as many of the
/// agents that are left out, are described one by one.
constexpr size_t MaxDescribedAgents = 100;

/// What is not known, such as the report of an agent that has never answered,
/// is left out.
std::string encodeWhere(const opaque::Placement &Explained,
                        const WhereQuery &Query, const WhereContext &Context,
                        TimePoint Now);

/// HttpStatus::BadRequest with an error if the query is malformed; otherwise
/// the explanation, whatever its outcome. Changes no state.
HttpResponse answerWhere(const HttpRequest &Request,
                         const opaque::Steering &Steering,
                         const WhereContext &Context, TimePoint Now);

} // namespace dragonflystall::node

#endif
