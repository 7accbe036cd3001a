// Comparison of the agents of a service, their ranks for a new flow, and the
// choice among them.
#include "opaque/directory.h"

#include "opaque/forwardingstate.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>

namespace dragonflystall::opaque {

namespace {

/// Cost of a cold upstream, as a share of all slots.
constexpr double ColdCost = 1.0;
/// Cost of each repeated SYN, as a share of all slots.
constexpr double RepeatedSynCost = 0.5;
/// Cost of an upstream that fails all requests, as a share of all slots: high
/// enough that even an upstream that fails a few requests gets no new flows
/// while others have room.
constexpr double FailingCost = 12.0;

/// How long a new flow's request is in progress, in work times: the way to the
/// caller and back, and some waiting.
constexpr int WorkTimesOfRequest = 4;

Duration expectedRequestDuration(const balancing::ServiceLoad &Service) {
  return WorkTimesOfRequest * Service.MedianWork;
}

/// Excluded agents are last.
void sortByRank(std::vector<RankedAgent> &Agents) {
  const auto KeyOf = [](const RankedAgent &A) {
    return std::tuple(A.Order.Excluded, A.Order.Level, A.Order.Cost.total());
  };
  std::stable_sort(Agents.begin(), Agents.end(),
                   [&](const RankedAgent &A, const RankedAgent &B) {
                     return KeyOf(A) < KeyOf(B);
                   });
}

/// Agents must be sorted.
void setProspects(std::vector<RankedAgent> &Agents) {
  if (Agents.empty())
    return;
  const Rank Best = Agents.front().Order;
  const double Limit = Best.Cost.total() + Directory::JitterCost;
  for (RankedAgent &A : Agents)
    if (A.Order.Excluded != Exclusion::None)
      A.Chance = Prospect::Excluded;
    else if (&A == &Agents.front())
      A.Chance = Prospect::First;
    else if (A.Order.Level == Best.Level && A.Order.Cost.total() <= Limit)
      A.Chance = Prospect::WithinJitter;
    else if (A.Order.Level == Tier::Ejected)
      A.Chance = Prospect::Probe;
}

} // namespace

uint32_t Directory::triedBit(const Agent &Member) {
  return 1u << (static_cast<uint32_t>(Member.Id) % ForwardingState::TriedBits);
}

balancing::UpstreamLoad Directory::loadOf(const Agent &Member) {
  const Pong &Report = Member.LastReport;
  return {static_cast<double>(Report.Slots),
          Report.Busy,
          /*SentSince=*/0,
          static_cast<double>(Report.OpenFlows),
          Report.RequestRate,
          Report.WorkTime};
}

Directory::ComparisonResult Directory::compare(const std::string &Service,
                                               TimePoint Now) const {
  ComparisonResult Result;
  std::vector<balancing::UpstreamLoad> Loads;
  for (Agent *Member : agentsOf(Service)) {
    if (!isAnswering(*Member, Now) || !takesFlows(Member->LastReport.State))
      continue;
    Result.Compared.emplace_back(Member, Member->Ejection);
    Loads.push_back(loadOf(*Member));
  }
  Result.Service = balancing::summarize(Loads);
  for (auto &[Member, Ejection] : Result.Compared)
    Ejection.update(loadOf(*Member), Result.Service);
  Result.Ejected = ejectedOf(Result);
  return Result;
}

std::vector<Agent *> Directory::ejectedOf(const ComparisonResult &Result) {
  std::vector<Agent *> Suspected;
  for (const auto &[Member, Ejection] : Result.Compared)
    if (Ejection.isSuspected())
      Suspected.push_back(Member);
  // Those that are nearest to failing all requests at once.
  std::sort(Suspected.begin(), Suspected.end(),
            [](const Agent *A, const Agent *B) {
              return A->LastReport.WorkTime < B->LastReport.WorkTime;
            });
  Suspected.resize(
      balancing::ejectedCount(Suspected.size(), Result.Compared.size()));
  return Suspected;
}

const balancing::ServiceLoad &
Directory::updateComparison(const std::string &Service, TimePoint Now) {
  Comparison &Last = Comparisons_[Service];
  if (!isDue(Last, Now))
    return Last.Service;
  const ComparisonResult Result = compare(Service, Now);
  for (Agent *Member : agentsOf(Service))
    Member->IsEjected = false;
  for (Agent *Member : Result.Ejected)
    Member->IsEjected = true;
  for (const auto &[Member, Ejection] : Result.Compared)
    Member->Ejection = Ejection;
  Last = {Result.Service, Now};
  return Last.Service;
}

void Directory::onSynSent(Agent &Target, TimePoint Now) {
  ++Target.SynsSinceLastPong;
  const auto It = Comparisons_.find(Target.Entry.Service);
  const Duration ExpectedDuration =
      It == Comparisons_.end() ? Duration::zero()
                               : expectedRequestDuration(It->second.Service);
  Target.RecentSyns.add(ExpectedDuration, Now);
}

inline PlacementCost Directory::costOf(const Agent &Candidate,
                                       const balancing::ServiceLoad &Service,
                                       TimePoint Now) const {
  PlacementCost Cost;
  balancing::UpstreamLoad Load = loadOf(Candidate);
  Load.SentSince =
      Candidate.RecentSyns.inProgress(expectedRequestDuration(Service), Now);
  Cost.Load = balancing::expectedLoad(Load, Service);
  Cost.RepeatedSyns = RepeatedSynCost * Candidate.RepeatedSyns;
  Cost.Failures = FailingCost * Candidate.LastReport.FailureShare;
  if (Candidate.Entry.Zone != Zone_)
    Cost.Crossing = balancing::crossingCost(Candidate.RoundTrip, Service);
  if (Candidate.LastReport.State == Intake::Cold)
    Cost.Cold = ColdCost;
  return Cost;
}

inline Rank Directory::rankOf(const Agent &Candidate, bool IsEjected,
                              uint32_t Tried, TimePoint Now,
                              const balancing::ServiceLoad &Service) const {
  Rank Result;
  if (Tried & triedBit(Candidate))
    Result.Excluded = Exclusion::Tried;
  else if (Now < Candidate.PausedUntil)
    Result.Excluded = Exclusion::Paused;
  else if (!isAnswering(Candidate, Now))
    Result.Level = Tier::Unknown;
  else if (!takesFlows(Candidate.LastReport.State))
    // The agent reports a change of state at once.
    Result.Excluded = Exclusion::NotTaking;
  else if (IsEjected)
    Result.Level = Tier::Ejected;
  if (Result.Excluded == Exclusion::None)
    Result.Cost = costOf(Candidate, Service, Now);
  return Result;
}

Agent *Directory::choose(const std::string &Service, uint32_t Tried,
                         TimePoint Now) {
  Agent *Best = nullptr;
  std::pair<Tier, double> BestCost;
  const balancing::ServiceLoad &Compared = updateComparison(Service, Now);
  for (Agent *Candidate : agentsOf(Service)) {
    const Rank Order =
        rankOf(*Candidate, Candidate->IsEjected, Tried, Now, Compared);
    if (Order.Excluded != Exclusion::None)
      continue;
    const bool IsProbed = Order.Level == Tier::Ejected &&
                          chance(Rng_, balancing::Ejection::ProbeShare);
    const double Jitter = std::uniform_real_distribution<>(0, JitterCost)(Rng_);
    const std::pair<Tier, double> Cost = {IsProbed ? Tier::Probed : Order.Level,
                                          Order.Cost.total() + Jitter};
    if (!Best || Cost < BestCost) {
      Best = Candidate;
      BestCost = Cost;
    }
  }
  return Best;
}

Agent *Directory::chooseWithRoom(const std::string &Service,
                                 const std::vector<AgentId> &Except,
                                 const Configuration &Config, TimePoint Now) {
  Agent *Best = nullptr;
  double BestCost = 0;
  const balancing::ServiceLoad &Compared = updateComparison(Service, Now);
  for (Agent *Candidate : agentsOf(Service)) {
    const Pong &Report = Candidate->LastReport;
    if (!isAnswering(*Candidate, Now) || Report.State != Intake::Open ||
        Report.Busy >= Report.Slots || Candidate->IsEjected ||
        Config.isEvacuated(Candidate->Entry.Zone) ||
        std::find(Except.begin(), Except.end(), Candidate->Id) != Except.end())
      continue;
    const double Jitter = std::uniform_real_distribution<>(0, JitterCost)(Rng_);
    const double Cost = costOf(*Candidate, Compared, Now).total() + Jitter;
    if (!Best || Cost < BestCost) {
      Best = Candidate;
      BestCost = Cost;
    }
  }
  return Best;
}

Ranking Directory::ranking(const std::string &Service, uint32_t Tried,
                           TimePoint Now) const {
  Ranking Result;
  const auto Last = Comparisons_.find(Service);
  const bool Renew = Last == Comparisons_.end() || isDue(Last->second, Now);
  const ComparisonResult Newer =
      Renew ? compare(Service, Now) : ComparisonResult();
  const std::unordered_set<const Agent *> Ejected(Newer.Ejected.begin(),
                                                  Newer.Ejected.end());
  Result.Service = Renew ? Newer.Service : Last->second.Service;
  for (const Agent *Member : agentsOf(Service)) {
    const bool IsEjected = Renew ? Ejected.contains(Member) : Member->IsEjected;
    Result.Agents.push_back(
        {Member, rankOf(*Member, IsEjected, Tried, Now, Result.Service),
         IsEjected, balancing::slownessOf(loadOf(*Member), Result.Service),
         Member->RecentSyns.inProgress(expectedRequestDuration(Result.Service),
                                       Now)});
  }
  sortByRank(Result.Agents);
  setProspects(Result.Agents);
  return Result;
}

} // namespace dragonflystall::opaque
