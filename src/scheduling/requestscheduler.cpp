// Order by priority, outlook, caller zone and deadline, with reserved shares.
#include "scheduling/requestscheduler.h"

#include <algorithm>

namespace dragonflystall::scheduling {

namespace {

constexpr uint32_t SlotsPerReserve = 2;
/// The mean response time covers about this number of recent answers.
constexpr int MeanAnswers = 16;
/// A request counts as answerable within its aim if twice the mean response
/// time is left: one that is passed at the last moment misses the aim whenever
/// its work exceeds the mean.
constexpr int AimMeans = 2;

} // namespace

uint32_t RequestScheduler::limit() const {
  const uint32_t Slots = std::max<uint32_t>(1, Slots_);
  return Slots + std::max<uint32_t>(1, Slots / SlotsPerReserve);
}

bool RequestScheduler::Queue::isEmpty() const {
  return std::all_of(Requests.begin(), Requests.end(),
                     [](const Order &O) { return O.empty(); });
}

TimePoint RequestScheduler::dueAt(const Entry &E) {
  return E.Chance == Outlook::InAim ? E.Request.AimBy : E.Request.TimeoutBy;
}

void RequestScheduler::onAnswered(Duration ResponseTime) {
  if (MeanResponse_ == Duration::zero())
    MeanResponse_ = ResponseTime;
  else
    MeanResponse_ += (ResponseTime - MeanResponse_) / MeanAnswers;
}

void RequestScheduler::joinZone(Queue &Joining, uint8_t Priority) {
  std::optional<uint64_t> Least;
  for (const Queue &Q : Queues_[Priority])
    if (!Q.isEmpty())
      Least = std::min(Least.value_or(Q.Starts), Q.Starts);
  if (Least)
    Joining.Starts = std::max(Joining.Starts, *Least);
}

bool RequestScheduler::add(const WaitingRequest &Request) {
  if (Waiting_.size() >= MaxWaiting)
    return false;
  Queue &Target = queueOf(Request);
  if (Target.isEmpty())
    joinZone(Target, Request.Priority);
  const Entry Added{Request, Outlook::InAim};
  if (!Waiting_.emplace(Request.Key, Added).second)
    return false;
  Target.of(Outlook::InAim).emplace(dueAt(Added), Request.Key);
  ++WaitingOf_[Request.Priority];
  return true;
}

std::optional<WaitingRequest> RequestScheduler::remove(uint64_t Key) {
  const auto It = Waiting_.find(Key);
  if (It == Waiting_.end())
    return std::nullopt;
  const Entry Removed = It->second;
  queueOf(Removed.Request).of(Removed.Chance).erase({dueAt(Removed), Key});
  Waiting_.erase(It);
  if (--WaitingOf_[Removed.Request.Priority] == 0)
    PassedOver_[Removed.Request.Priority] = 0;
  return Removed.Request;
}

void RequestScheduler::demote(Queue &From, Outlook Now, Outlook Next,
                              TimePoint Before) {
  Order &Source = From.of(Now);
  while (!Source.empty() && Source.begin()->first < Before) {
    const uint64_t Key = Source.begin()->second;
    Source.erase(Source.begin());
    Entry &Demoted = Waiting_.at(Key);
    Demoted.Chance = Next;
    From.of(Next).emplace(dueAt(Demoted), Key);
  }
}

void RequestScheduler::updateOutlooks(TimePoint Now) {
  for (auto &Zones : Queues_)
    for (Queue &Q : Zones) {
      demote(Q, Outlook::InAim, Outlook::InTimeout,
             Now + AimMeans * MeanResponse_);
      demote(Q, Outlook::InTimeout, Outlook::Late, Now + MeanResponse_);
    }
}

std::optional<uint64_t> RequestScheduler::firstOf(uint8_t Priority, Outlook O) {
  Queue *Best = nullptr;
  for (Queue &Q : Queues_[Priority]) {
    if (Q.of(O).empty())
      continue;
    const auto Rank = [&](Queue &Of) {
      return std::pair(Of.Starts, Of.of(O).begin()->first);
    };
    if (!Best || Rank(Q) < Rank(*Best))
      Best = &Q;
  }
  if (!Best)
    return std::nullopt;
  return Best->of(O).begin()->second;
}

std::optional<uint64_t> RequestScheduler::firstInTime(uint8_t Priority) {
  if (const auto InAim = firstOf(Priority, Outlook::InAim))
    return InAim;
  return firstOf(Priority, Outlook::InTimeout);
}

std::optional<uint64_t> RequestScheduler::reservedStart() {
  std::optional<uint64_t> Result;
  uint32_t Most = ReservedShare - 1;
  for (uint8_t P = 0; P < MaxPriorities; ++P) {
    if (PassedOver_[P] < Most)
      continue;
    if (const auto First = firstInTime(P)) {
      Result = First;
      Most = PassedOver_[P] + 1;
    }
  }
  return Result;
}

std::optional<uint64_t> RequestScheduler::mostUrgent() {
  for (uint8_t P = 0; P < MaxPriorities; ++P)
    if (const auto First = firstInTime(P))
      return First;
  for (uint8_t P = 0; P < MaxPriorities; ++P)
    if (const auto First = firstOf(P, Outlook::Late))
      return First;
  return std::nullopt;
}

void RequestScheduler::countStart(const WaitingRequest &Started) {
  ++queueOf(Started).Starts;
  for (uint8_t P = 0; P < MaxPriorities; ++P)
    if (P == Started.Priority)
      PassedOver_[P] = 0;
    else if (firstInTime(P))
      ++PassedOver_[P];
}

std::optional<WaitingRequest> RequestScheduler::next(TimePoint Now) {
  if (Waiting_.empty() || !hasRoom())
    return std::nullopt;
  updateOutlooks(Now);
  auto Key = reservedStart();
  if (!Key)
    Key = mostUrgent();
  const auto Result = remove(*Key);
  countStart(*Result);
  start();
  return Result;
}

std::vector<WaitingRequest> RequestScheduler::expire(TimePoint Now) {
  if (Waiting_.empty())
    return {};
  updateOutlooks(Now);
  std::vector<uint64_t> Expired;
  for (auto &Zones : Queues_)
    for (Queue &Q : Zones)
      for (const auto &[TimeoutBy, Key] : Q.of(Outlook::Late)) {
        if (TimeoutBy >= Now)
          break;
        Expired.push_back(Key);
      }
  std::vector<WaitingRequest> Result;
  Result.reserve(Expired.size());
  for (uint64_t Key : Expired)
    Result.push_back(*remove(Key));
  return Result;
}

std::vector<WaitingRequest> RequestScheduler::takeAll() {
  std::vector<uint64_t> Keys;
  for (auto &Zones : Queues_)
    for (Queue &Q : Zones)
      for (const Order &O : Q.Requests)
        for (const auto &[Due, Key] : O)
          Keys.push_back(Key);
  std::vector<WaitingRequest> Result;
  Result.reserve(Keys.size());
  for (uint64_t Key : Keys)
    Result.push_back(*remove(Key));
  return Result;
}

} // namespace dragonflystall::scheduling
