// JSON form of the state for peers.
#include "node/peerstate.h"

#include "types/jsonfields.h"

namespace dragonflystall::node {

namespace {

using namespace jsonfields;

constexpr std::string_view WithoutAgents = "?agents=0";
/// Limit on the state of a peer: one manifest, and 200 bytes for each agent.
constexpr JsonLimits StateLimits = {.MaxBytes = MaxResponseBytes,
                                    .MaxDepth = 16};

int64_t countMilliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

std::optional<opaque::AgentEntry> toAgentOfPeer(const Json &Value) {
  try {
    return toAgent(Value, shortText(Value, "name"));
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

Json toJson(const opaque::RouteHistoryState &History) {
  Json Former = Json::array();
  for (const opaque::FormerService &F : History.Former)
    Former.push_back({{"route", toString(F.Route)},
                      {"service", F.Service},
                      {"ageMs", countMilliseconds(F.Age)}});
  Json Result = {{"former", std::move(Former)}};
  if (History.Span)
    Result["spanMs"] = countMilliseconds(*History.Span);
  return Result;
}

opaque::RouteHistoryState toHistory(const Json &Value) {
  opaque::RouteHistoryState History;
  if (Value.contains("spanMs"))
    History.Span = reportedMilliseconds(number(Value, "spanMs", 0));
  for (const Json &Item : Value.at("former"))
    History.Former.push_back({endpoint(Item, "route"), text(Item, "service"),
                              reportedMilliseconds(number(Item, "ageMs", 0))});
  return History;
}

} // namespace

Json toJson(const opaque::AgentEntry &Entry) {
  return {{"service", Entry.Service},
          {"zone", Entry.Zone},
          {"packets", toString(Entry.Packets)},
          {"control", toString(Entry.Control)}};
}

opaque::AgentEntry toAgent(const Json &Value, std::string Name) {
  return {std::move(Name), shortText(Value, "service"),
          shortText(Value, "zone"), endpoint(Value, "packets"),
          endpoint(Value, "control")};
}

HttpRequest peerStateCall(PeerStateParts Parts) {
  std::string Target(PeerStatePath);
  if (Parts == PeerStateParts::Configuration)
    Target += WithoutAgents;
  return {HttpMethod::Get, std::move(Target), {}};
}

PeerStateParts partsOf(const HttpRequest &Request) {
  return Request.Target.ends_with(WithoutAgents) ? PeerStateParts::Configuration
                                                 : PeerStateParts::All;
}

std::string encodePeerState(const PeerState &State) {
  Json PastEras = Json::array();
  for (const opaque::PastEra &P : State.Evacuations.PastEras)
    PastEras.push_back({{"era", P.ReadUpTo.Era},
                        {"revision", P.ReadUpTo.Number},
                        {"held", P.Held},
                        {"ageMs", countMilliseconds(P.Age)}});
  Json Agents = Json::array();
  for (const opaque::AgentEntry &Entry : State.Agents.Entries) {
    Json Item = toJson(Entry);
    Item["name"] = Entry.Name;
    Agents.push_back(std::move(Item));
  }
  const Json Body = {{"manifest", State.ManifestContent},
                     {"evacuations",
                      {{"era", State.Evacuations.Revision.Era},
                       {"revision", State.Evacuations.Revision.Number},
                       {"zones", State.Evacuations.Zones},
                       {"pastEras", std::move(PastEras)}}},
                     {"agents", std::move(Agents)},
                     {"allAgents", State.Agents.IsComplete},
                     {"routeHistory", toJson(State.History)}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<PeerState> decodePeerState(const std::string &Body) {
  return decode(Body, StateLimits, [](const Json &Value) {
    PeerState State;
    State.ManifestContent = text(Value, "manifest");
    const Json &Evacuations = Value.at("evacuations");
    // Processes of earlier versions know no eras.
    State.Evacuations.Revision.Era = Evacuations.value("era", int64_t{0});
    State.Evacuations.Revision.Number = integer(Evacuations, "revision");
    State.Evacuations.Zones =
        Evacuations.at("zones").get<std::set<std::string>>();
    if (Evacuations.contains("pastEras"))
      for (const Json &Item : Evacuations["pastEras"])
        State.Evacuations.PastEras.push_back(
            {{integer(Item, "era"), integer(Item, "revision")},
             Item.at("held").get<std::set<std::string>>(),
             reportedMilliseconds(number(Item, "ageMs", 0))});
    for (const Json &Item : Value.at("agents"))
      if (auto Entry = toAgentOfPeer(Item))
        State.Agents.Entries.push_back(std::move(*Entry));
      else
        ++State.Skipped;
    // Processes of earlier versions do not say it.
    State.Agents.IsComplete = Value.value("allAgents", false);
    if (Value.contains("routeHistory"))
      State.History = toHistory(Value["routeHistory"]);
    return State;
  });
}

} // namespace dragonflystall::node
