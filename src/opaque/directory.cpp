// Liveness of agents, and selection of an agent for a new flow.
#include "opaque/directory.h"

#include "opaque/forwardingstate.h"

#include <algorithm>
#include <iterator>

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
/// Upper bound of a random cost that keeps balancers with the same view from
/// all choosing the same agent.
constexpr double JitterCost = 0.15;

/// How long a cold agent that has refused a flow gets no new flows, as a part
/// of the time until its budget has room again: ColdPause while other agents
/// are open, AllColdPause otherwise.
constexpr Duration ColdPause = 200ms;
constexpr Duration AllColdPause = 50ms;

/// The known round trip may grow by this factor per report, so that a longer
/// way becomes known.
constexpr double RoundTripGrowth = 1.02;

/// An agent that refuses a flow is assumed to have at least this number of
/// requests in progress per slot, until its next report.
constexpr uint32_t FullPerSlot = 2;

bool takesFlows(Intake State) {
  return State == Intake::Open || State == Intake::Cold;
}

/// Agents of a later tier are chosen only if the earlier ones have none left.
enum class Tier : uint8_t { Probed, Taking, Ejected, Unknown };

} // namespace

Agent &Directory::upsert(const AgentEntry &Entry, TimePoint Now) {
  std::unique_ptr<Agent> &Stored = Agents_[Entry.Name];
  if (Stored && Stored->Entry == Entry)
    return *Stored;
  Stored = std::make_unique<Agent>();
  Stored->Id = agentId(Entry.Name);
  Stored->Entry = Entry;
  Stored->Serial = ++NewestSerial_;
  Stored->FirstSeen = Now;
  rebuild();
  return *Stored;
}

void Directory::list(const AgentEntry &Entry, StoreRevision Revision,
                     TimePoint Now) {
  upsert(Entry, Now).Revision = Revision;
  NewestEntry_ = std::max(NewestEntry_, Revision);
}

void Directory::addUnlisted(const AgentEntry &Entry, TimePoint Now) {
  const Agent *Existing = find(Entry.Name);
  if (Existing && Existing->Entry == Entry)
    return;
  upsert(Entry, Now);
}

void Directory::unlist(const std::string &Name) {
  if (Agent *Member = find(Name))
    Member->Revision = {};
}

void Directory::listAll(const std::vector<ListedAgent> &Entries,
                        TimePoint Now) {
  for (auto &[Name, Member] : Agents_)
    Member->Revision = {};
  for (const auto &[Entry, Revision] : Entries)
    list(Entry, Revision, Now);
}

void Directory::onPong(const Pong &Message, TimePoint Now) {
  Agent *Member = find(Message.Name);
  if (!Member || Member->Entry.Service != Message.Service)
    return;
  measureRoundTrip(*Member, Message, Now);
  if (!Member->hasAnswered())
    Comparisons_.erase(Message.Service);
  Member->LastReport = Message;
  Member->LastPong = Now;
  Member->SynsSinceLastPong = 0;
  Member->RepeatedSyns = 0;
  Member->FirstUnansweredPing = {};
}

void Directory::measureRoundTrip(Agent &Member, const Pong &Message,
                                 TimePoint Now) {
  if (Message.Number == 0 || Message.Number != Member.LastPingNumber)
    return;
  const Duration Last = Now - Member.LastPing;
  const auto Longest =
      std::chrono::duration_cast<Duration>(Member.RoundTrip * RoundTripGrowth);
  const bool IsKnown = Member.RoundTrip > Duration::zero();
  Member.RoundTrip = IsKnown ? std::min(Last, Longest) : Last;
}

balancing::UpstreamLoad Directory::loadOf(const Agent &Member) {
  const Pong &Report = Member.LastReport;
  return {static_cast<double>(Report.Slots),
          Report.Busy,
          static_cast<double>(Member.SynsSinceLastPong),
          static_cast<double>(Report.OpenFlows),
          Report.RequestRate,
          Report.WorkTime};
}

const balancing::ServiceLoad &
Directory::updateComparison(const std::string &Service, TimePoint Now) {
  Comparison &Result = Comparisons_[Service];
  if (Now - Result.UpdatedAt < ComparisonInterval)
    return Result.Service;
  std::vector<Agent *> Compared;
  std::vector<balancing::UpstreamLoad> Loads;
  for (Agent *Member : agentsOf(Service)) {
    Member->IsEjected = false;
    if (!isAnswering(*Member, Now) || !takesFlows(Member->LastReport.State))
      continue;
    Compared.push_back(Member);
    Loads.push_back(loadOf(*Member));
  }
  Result = {balancing::summarize(Loads), Now};
  for (Agent *Member : Compared)
    Member->Ejection.update(loadOf(*Member), Result.Service);
  eject(Compared);
  return Result.Service;
}

void Directory::eject(const std::vector<Agent *> &Compared) {
  std::vector<Agent *> Suspected;
  std::copy_if(
      Compared.begin(), Compared.end(), std::back_inserter(Suspected),
      [](const Agent *Member) { return Member->Ejection.isSuspected(); });
  // Those that are nearest to failing all requests at once.
  std::sort(Suspected.begin(), Suspected.end(),
            [](const Agent *A, const Agent *B) {
              return A->LastReport.WorkTime < B->LastReport.WorkTime;
            });
  Suspected.resize(balancing::ejectedCount(Suspected.size(), Compared.size()));
  for (Agent *Member : Suspected)
    Member->IsEjected = true;
}

double Directory::slownessOf(const Agent &Member) const {
  const auto It = Comparisons_.find(Member.Entry.Service);
  return It == Comparisons_.end()
             ? 1
             : balancing::slownessOf(loadOf(Member), It->second.Service);
}

Duration Directory::medianWorkOf(const std::string &Service) const {
  const auto It = Comparisons_.find(Service);
  return It == Comparisons_.end() ? Duration::zero()
                                  : It->second.Service.MedianWork;
}

size_t Directory::ejectedCount() const {
  return std::count_if(Agents_.begin(), Agents_.end(),
                       [](const auto &A) { return A.second->IsEjected; });
}

void Directory::onPingSent(Agent &Target, TimePoint Now, uint64_t Number) {
  Target.LastPing = Now;
  Target.LastPingNumber = Number;
  if (Target.FirstUnansweredPing == TimePoint{})
    Target.FirstUnansweredPing = Now;
}

void Directory::expire(TimePoint Now) {
  std::vector<std::string> Expired;
  for (const auto &[Name, Member] : Agents_)
    if (!Member->listed() && Now - Member->lastSeen() > ForgetAfter)
      Expired.push_back(Name);
  for (const std::string &Name : Expired)
    erase(Name);
}

void Directory::erase(const std::string &Name) {
  Agents_.erase(Name);
  rebuild();
}

void Directory::rebuild() {
  Comparisons_.clear();
  ById_.clear();
  ByService_.clear();
  for (const auto &[Name, Member] : Agents_) {
    ById_[Member->Id] = Member.get();
    ByService_[Member->Entry.Service].push_back(Member.get());
  }
}

Agent *Directory::find(AgentId Id) {
  const auto It = ById_.find(Id);
  return It == ById_.end() ? nullptr : It->second;
}

Agent *Directory::find(const std::string &Name) {
  const auto It = Agents_.find(Name);
  return It == Agents_.end() ? nullptr : It->second.get();
}

const std::vector<Agent *> &
Directory::agentsOf(const std::string &Service) const {
  static const std::vector<Agent *> None;
  const auto It = ByService_.find(Service);
  return It == ByService_.end() ? None : It->second;
}

void Directory::onRefusal(const std::string &Service, Endpoint Packets,
                          TimePoint Now) {
  for (Agent *Member : agentsOf(Service)) {
    if (Member->Entry.Packets != Packets)
      continue;
    if (Member->LastReport.State == Intake::Cold) {
      const bool OthersOpen = openSlotsOf(Service, Now) > 0;
      Member->PausedUntil = Now + (OthersOpen ? ColdPause : AllColdPause);
    } else {
      Member->LastReport.Busy = std::max<double>(
          Member->LastReport.Busy, FullPerSlot * Member->LastReport.Slots);
    }
  }
}

uint32_t Directory::triedBit(const Agent &Member) {
  return 1u << (static_cast<uint32_t>(Member.Id) % ForwardingState::TriedBits);
}

double Directory::costOf(const Agent &Candidate,
                         const balancing::ServiceLoad &Service) {
  double Cost = balancing::expectedLoad(loadOf(Candidate), Service);
  Cost += RepeatedSynCost * Candidate.RepeatedSyns;
  Cost += FailingCost * Candidate.LastReport.FailureShare;
  if (Candidate.Entry.Zone != Zone_)
    Cost += balancing::crossingCost(Candidate.RoundTrip, Service);
  if (Candidate.LastReport.State == Intake::Cold)
    Cost += ColdCost;
  return Cost + std::uniform_real_distribution<>(0, JitterCost)(Rng_);
}

Agent *Directory::choose(const std::string &Service, uint32_t Tried,
                         TimePoint Now) {
  Agent *Best = nullptr;
  std::pair<Tier, double> BestCost;
  const balancing::ServiceLoad &Compared = updateComparison(Service, Now);
  for (Agent *Candidate : agentsOf(Service)) {
    if ((Tried & triedBit(*Candidate)) || Now < Candidate->PausedUntil)
      continue;
    Tier Level = Tier::Taking;
    if (!isAnswering(*Candidate, Now))
      Level = Tier::Unknown;
    else if (!takesFlows(Candidate->LastReport.State))
      continue; // The agent reports a change of state at once.
    else if (Candidate->IsEjected)
      Level = chance(Rng_, balancing::Ejection::ProbeShare) ? Tier::Probed
                                                            : Tier::Ejected;
    const std::pair<Tier, double> Cost = {Level, costOf(*Candidate, Compared)};
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
    const double Cost = costOf(*Candidate, Compared);
    if (!Best || Cost < BestCost) {
      Best = Candidate;
      BestCost = Cost;
    }
  }
  return Best;
}

bool Directory::canServe(const std::string &Service, TimePoint Now) const {
  const std::vector<Agent *> &Members = agentsOf(Service);
  return std::any_of(Members.begin(), Members.end(), [&](const Agent *Member) {
    if (isSuspect(*Member, Now))
      return false;
    return !Member->hasAnswered() || takesFlows(Member->LastReport.State);
  });
}

std::optional<TimePoint> Directory::nextCapacityAt(const std::string &Service,
                                                   TimePoint Now) const {
  std::optional<TimePoint> Next;
  for (const Agent *Member : agentsOf(Service)) {
    if (!isAnswering(*Member, Now))
      continue;
    const bool IsWarming = Member->LastReport.State == Intake::Cold &&
                           Member->LastReport.ColdFor > Duration::zero();
    if (!IsWarming && Member->LastReport.State != Intake::Open)
      continue;
    const TimePoint At =
        IsWarming ? Member->LastPong + Member->LastReport.ColdFor : Now;
    Next = std::min(Next.value_or(At), At);
  }
  return Next;
}

size_t Directory::slotsOf(const std::string &Service) const {
  size_t Slots = 0;
  for (const Agent *Member : agentsOf(Service))
    Slots += Member->LastReport.Slots;
  return Slots;
}

size_t Directory::openSlotsOf(const std::string &Service, TimePoint Now) const {
  size_t Slots = 0;
  for (const Agent *Member : agentsOf(Service))
    if (isAnswering(*Member, Now) && Member->LastReport.State == Intake::Open)
      Slots += Member->LastReport.Slots;
  return Slots;
}

std::optional<uint32_t> Directory::greatestRank(TimePoint Now) const {
  std::optional<uint32_t> Greatest;
  for (const auto &[Name, Member] : Agents_)
    if (isAnswering(*Member, Now))
      Greatest = std::max(Greatest.value_or(0), Member->LastReport.Rank);
  return Greatest;
}

std::vector<const Agent *> Directory::removable(TimePoint Now) const {
  std::vector<const Agent *> Result;
  size_t Answering = 0;
  for (const auto &[Name, Member] : Agents_) {
    Answering += isAnswering(*Member, Now);
    if (Member->listed() && isSuspect(*Member, Now) &&
        Now - Member->lastSeen() > RemoveAfter)
      Result.push_back(Member.get());
  }
  // If most agents are silent, this balancer is probably cut off itself.
  if (Answering * 2 < Agents_.size() - Result.size() || Answering == 0)
    Result.clear();
  return Result;
}

} // namespace dragonflystall::opaque
