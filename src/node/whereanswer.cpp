// JSON form of an explanation. Times are in milliseconds, costs in shares of an
// agent's slots.
#include "node/whereanswer.h"

#include "opaque/directory.h"
#include "opaque/steering.h"
#include "opaque/upstream.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace dragonflystall::node {

namespace {

using Json = nlohmann::json;
using opaque::Agent;
using opaque::RankedAgent;

/// Rounds to three decimal places.
double rounded(double Value) { return std::round(Value * 1000) / 1000; }

double toMilliseconds(Duration Time) {
  return rounded(std::chrono::duration<double, std::milli>(Time).count());
}

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json toJson(const opaque::PlacementCost &Cost) {
  return {{"total", rounded(Cost.total())},
          {"load", rounded(Cost.Load)},
          {"repeatedSyns", rounded(Cost.RepeatedSyns)},
          {"failures", rounded(Cost.Failures)},
          {"crossing", rounded(Cost.Crossing)},
          {"cold", rounded(Cost.Cold)}};
}

/// What the agent has reported, and how old that is.
void addReport(Json &Result, const Agent &Member, TimePoint Now) {
  if (!Member.hasAnswered())
    return;
  const opaque::Pong &Report = Member.LastReport;
  Result["state"] = name(Report.State);
  Result["reportAgeMs"] = toMilliseconds(Now - Member.LastPong);
  Result["slots"] = Report.Slots;
  Result["busy"] = rounded(Report.Busy);
  Result["openFlows"] = Report.OpenFlows;
  Result["requestRate"] = rounded(Report.RequestRate);
  if (Report.WorkTime > Duration::zero())
    Result["workMs"] = toMilliseconds(Report.WorkTime);
  Result["failureShare"] = rounded(Report.FailureShare);
  if (Report.State == opaque::Intake::Cold)
    Result["coldMs"] = toMilliseconds(
        std::max(Duration::zero(), Member.LastPong + Report.ColdFor - Now));
}

Json toJson(const RankedAgent &Ranked, TimePoint Now) {
  const Agent &Member = *Ranked.Member;
  Json Result = {
      {"agent", Member.Entry.Name},
      {"zone", Member.Entry.Zone},
      {"prospect", name(Ranked.Chance)},
      {"sentSince", Member.SynsSinceLastPong},
      {"sentInProgress", rounded(Ranked.RecentSyns)},
      {"repeatedSyns", Member.RepeatedSyns},
      {"slowness", rounded(Ranked.Slowness)},
      {"ejected", Ranked.IsEjected},
      {"listed", Member.listed()},
      {"answered", Member.hasAnswered()},
      {"silentMs", toMilliseconds(opaque::Directory::silentFor(Member, Now))}};
  if (Member.RoundTrip > Duration::zero())
    Result["roundTripMs"] = toMilliseconds(Member.RoundTrip);
  if (Ranked.Order.Excluded == opaque::Exclusion::None) {
    Result["tier"] = name(Ranked.Order.Level);
    Result["cost"] = toJson(Ranked.Order.Cost);
  } else {
    Result["leftOut"] = name(Ranked.Order.Excluded);
  }
  if (Now < Member.PausedUntil)
    Result["pausedMs"] = toMilliseconds(Member.PausedUntil - Now);
  addReport(Result, Member, Now);
  return Result;
}

void addAgents(Json &Result, const std::vector<RankedAgent> &Agents,
               TimePoint Now) {
  Json Candidates = Json::array();
  Json LeftOut = Json::array();
  size_t CandidateCount = 0;
  std::map<std::string, size_t> LeftOutCounts;
  for (const RankedAgent &A : Agents) {
    const bool IsLeftOut = A.Chance == opaque::Prospect::Excluded;
    Json &List = IsLeftOut ? LeftOut : Candidates;
    if (List.size() < MaxDescribedAgents)
      List.push_back(toJson(A, Now));
    if (IsLeftOut)
      ++LeftOutCounts[std::string(name(A.Order.Excluded))];
    else
      ++CandidateCount;
  }
  Result["candidates"] = std::move(Candidates);
  Result["candidateCount"] = CandidateCount;
  Result["leftOut"] = std::move(LeftOut);
  Result["leftOutCounts"] = std::move(LeftOutCounts);
}

Json toJson(const opaque::ServicePlacement &Service,
            const WhereContext &Context, TimePoint Now) {
  Json Result = {{"service", Service.Service->Name},
                 {"weight", rounded(Service.Service->Weight)},
                 {"takesFlows", Service.CanServe},
                 {"possible", Service.IsPossible}};
  if (!Service.IsPossible)
    return Result;
  Result["outcome"] = name(Service.Outcome);
  if (const RankedAgent *First = Service.Candidates.first())
    Result["first"] = First->Member->Entry.Name;
  Result["waitingFlows"] = Service.WaitingFlows;
  if (Service.RoomIn)
    Result["roomInMs"] = toMilliseconds(*Service.RoomIn);
  Result["coldPerS"] =
      opaque::coldLimitOf(Context.Manifest, Service.Service->Name,
                          Context.ColdFactor, Context.ColdSlack);
  if (Service.Candidates.Service.isKnown())
    Result["medianWorkMs"] =
        toMilliseconds(Service.Candidates.Service.MedianWork);
  addAgents(Result, Service.Candidates.Agents, Now);
  return Result;
}

/// The outcome that all possible services have in common.
std::string_view outcomeOf(const opaque::Placement &Explained) {
  if (Explained.Reason != opaque::SteerReason::Placed)
    return name(Explained.Reason);
  std::optional<opaque::SteerReason> Common;
  for (const opaque::ServicePlacement &S : Explained.Services) {
    if (S.IsPossible && Common.value_or(S.Outcome) != S.Outcome)
      return "depends-on-flow";
    if (S.IsPossible)
      Common = S.Outcome;
  }
  return name(*Common);
}

} // namespace

tl::expected<WhereQuery, std::string>
decodeWhereQuery(const std::string &Target) {
  std::map<std::string, std::string> Fields;
  const size_t Path = pathOf(Target).size();
  std::istringstream Text(Target.substr(std::min(Path + 1, Target.size())));
  for (std::string Field; std::getline(Text, Field, '&');)
    if (const size_t Equals = Field.find('='); Equals != std::string::npos)
      Fields[Field.substr(0, Equals)] = decodeUri(Field.substr(Equals + 1));
  const auto Route = parseEndpoint(Fields["route"]);
  if (!Route)
    return tl::unexpected(std::string("route: expected ADDRESS:PORT"));
  WhereQuery Query = {*Route, {}};
  if (!Fields.contains("flow"))
    return Query;
  Query.Caller = parseEndpoint(Fields["flow"]);
  if (!Query.Caller)
    return tl::unexpected(std::string("flow: expected ADDRESS:PORT"));
  return Query;
}

std::string encodeWhere(const opaque::Placement &Explained,
                        const WhereQuery &Query, const WhereContext &Context,
                        TimePoint Now) {
  Json Result = {{"balancer", Context.Name},
                 {"zone", Context.Zone},
                 {"manifest", Context.Manifest.Version},
                 {"route", toString(Query.Route)},
                 {"outcome", outcomeOf(Explained)},
                 {"jitter", opaque::Directory::JitterCost},
                 {"probeShare", balancing::Ejection::ProbeShare}};
  if (Query.Caller)
    Result["flow"] = toString(*Query.Caller);
  if (Explained.Holder)
    Result["holder"] = Explained.Holder->Entry.Name;
  if (const opaque::Route *Target = Explained.Target) {
    Result["priority"] = Target->Priority;
    Result["timeoutMs"] = toMilliseconds(Target->Timeout);
  }
  Json Services = Json::array();
  for (const opaque::ServicePlacement &S : Explained.Services)
    Services.push_back(toJson(S, Context, Now));
  Result["services"] = std::move(Services);
  return dump(Result);
}

HttpResponse answerWhere(const HttpRequest &Request,
                         const opaque::Steering &Steering,
                         const WhereContext &Context, TimePoint Now) {
  const auto Query = decodeWhereQuery(Request.Target);
  if (!Query)
    return jsonResponse(HttpStatus::BadRequest,
                        dump({{"error", Query.error()}}));
  const auto Explained = Steering.explain(Query->Route, Query->Caller, Now);
  return jsonResponse(HttpStatus::Ok,
                      encodeWhere(Explained, *Query, Context, Now));
}

} // namespace dragonflystall::node
