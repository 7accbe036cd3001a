// Queue of new flows: within their aim first, then by priority and deadline.
#include "opaque/newflowqueue.h"

#include <algorithm>
#include <iterator>

namespace dragonflystall::opaque {

size_t NewFlowQueue::sizeOf(const std::string &Service) const {
  const auto It = Services_.find(Service);
  return It == Services_.end() ? 0 : It->second.Flows.size();
}

std::vector<std::string> NewFlowQueue::services() const {
  std::vector<std::string> Names;
  for (const auto &[Service, Queue] : Services_)
    Names.push_back(Service);
  return Names;
}

size_t NewFlowQueue::countAhead(const std::string &Service, uint32_t Priority,
                                TimePoint Deadline, size_t Limit) const {
  const auto It = Services_.find(Service);
  if (It == Services_.end())
    return 0;
  size_t Count = 0;
  const Urgency Own = {Priority, Deadline, UINT64_MAX};
  for (const auto &[Key, Flow] : It->second.Flows) {
    if (Count == Limit || Key > Own)
      break;
    ++Count;
  }
  return Count;
}

NewFlowQueue::Urgency NewFlowQueue::lastOf(const ServiceQueue &Queue,
                                           uint32_t Priority) {
  const auto After =
      Queue.Flows.upper_bound({Priority, TimePoint::max(), UINT64_MAX});
  return std::prev(After)->first;
}

std::optional<NewFlowQueue::Urgency>
NewFlowQueue::findEvicted(const ServiceQueue &Queue, const Urgency &Newcomer,
                          size_t MaxPerService) {
  // Fewer flows have a place if their SYNs are long.
  const size_t Places = std::min(MaxPerService, Queue.Flows.size());
  const size_t Reserved = Places / ReservedFraction;
  const auto Own = Queue.Counts.find(Newcomer.Priority);
  const bool InShare =
      Own == Queue.Counts.end() ? Reserved > 0 : Own->second < Reserved;
  for (auto It = Queue.Counts.rbegin(); It != Queue.Counts.rend(); ++It) {
    const auto &[Priority, Count] = *It;
    const Urgency Last = lastOf(Queue, Priority);
    if (Priority == Newcomer.Priority && !InShare)
      return Last > Newcomer ? std::optional(Last) : std::nullopt;
    const bool GivesWay = Priority > Newcomer.Priority || InShare;
    if (Priority != Newcomer.Priority && GivesWay && Count > Reserved)
      return Last;
  }
  return std::nullopt;
}

bool NewFlowQueue::hasPlaceFor(const std::string &Service, uint32_t Priority,
                               TimePoint Deadline, size_t MaxPerService) const {
  const auto It = Services_.find(Service);
  const size_t Count = It == Services_.end() ? 0 : It->second.Flows.size();
  if (Count < MaxPerService)
    return true;
  const Urgency Newcomer = {Priority, Deadline, UINT64_MAX};
  return Count > 0 && findEvicted(It->second, Newcomer, MaxPerService);
}

WaitingFlow NewFlowQueue::remove(ServiceQueue &Queue, Urgency Key) {
  WaitingFlow Flow = std::move(Queue.Flows.extract(Key).mapped());
  if (--Queue.Counts[Key.Priority] == 0)
    Queue.Counts.erase(Key.Priority);
  Index_.erase(Flow.hash());
  Bytes_ -= Flow.Packet.Bytes.size();
  return Flow;
}

void NewFlowQueue::eraseIfEmpty(const std::string &Service) {
  const auto It = Services_.find(Service);
  if (It != Services_.end() && It->second.Flows.empty())
    Services_.erase(It);
}

std::optional<WaitingFlow> NewFlowQueue::add(WaitingFlow Newcomer,
                                             size_t MaxPerService) {
  const std::string Service = Newcomer.Service;
  ServiceQueue &Queue = Services_[Service];
  const Urgency Key = {Newcomer.Priority, Newcomer.Deadline, ++LastSerial_};
  const size_t Bytes = Bytes_ + Newcomer.Packet.Bytes.size();
  std::optional<WaitingFlow> Refused;
  if (Queue.Flows.size() >= MaxPerService || Bytes > MaxBytes) {
    const auto Evicted = findEvicted(Queue, Key, MaxPerService);
    if (!Evicted ||
        Bytes - Queue.Flows.at(*Evicted).Packet.Bytes.size() > MaxBytes) {
      eraseIfEmpty(Service);
      return Newcomer;
    }
    Refused = remove(Queue, *Evicted);
  }
  Index_[Newcomer.hash()] = {&Queue, Key};
  Bytes_ += Newcomer.Packet.Bytes.size();
  ++Queue.Counts[Key.Priority];
  Queue.Flows.emplace(Key, std::move(Newcomer));
  return Refused;
}

bool NewFlowQueue::refresh(uint64_t Hash, const PacketHead &Head,
                           std::string_view Bytes) {
  const auto It = Index_.find(Hash);
  if (It == Index_.end())
    return false;
  WaitingFlow &Flow = It->second.Queue->Flows.at(It->second.Key);
  // The older copy is as good, and the limit on bytes holds.
  if (Bytes_ + Bytes.size() > MaxBytes)
    return true;
  Bytes_ += Bytes.size();
  Bytes_ -= Flow.Packet.Bytes.size();
  Flow.Packet = {Head, std::string(Bytes)};
  return true;
}

std::vector<WaitingFlow> NewFlowQueue::take(const std::string &Service,
                                            size_t Count, TimePoint Now) {
  std::vector<WaitingFlow> Taken;
  const auto It = Services_.find(Service);
  if (It == Services_.end())
    return Taken;
  ServiceQueue &Queue = It->second;
  std::vector<Urgency> InAim;
  for (auto Flow = Queue.Flows.begin();
       Flow != Queue.Flows.end() && InAim.size() < Count; ++Flow)
    if (Flow->second.AimBy > Now)
      InAim.push_back(Flow->first);
  for (const Urgency &Key : InAim)
    Taken.push_back(remove(Queue, Key));
  while (Taken.size() < Count && !Queue.Flows.empty())
    Taken.push_back(remove(Queue, Queue.Flows.begin()->first));
  eraseIfEmpty(Service);
  return Taken;
}

std::vector<WaitingFlow> NewFlowQueue::expire(TimePoint Now) {
  std::vector<WaitingFlow> Expired;
  for (auto &[Service, Queue] : Services_) {
    const auto Counts = Queue.Counts;
    for (const auto &[Priority, Count] : Counts)
      for (size_t I = 0; I < Count; ++I) {
        const auto First =
            Queue.Flows.lower_bound({Priority, TimePoint::min(), 0});
        if (First->first.Deadline > Now)
          break;
        Expired.push_back(remove(Queue, First->first));
      }
  }
  std::erase_if(Services_,
                [](const auto &S) { return S.second.Flows.empty(); });
  return Expired;
}

std::vector<WaitingFlow> NewFlowQueue::takeLate(const std::string &Service,
                                                TimePoint RoomAt,
                                                size_t Early) {
  std::vector<WaitingFlow> Late;
  const auto It = Services_.find(Service);
  if (It == Services_.end())
    return Late;
  size_t Place = 0;
  for (auto Next = It->second.Flows.begin(); Next != It->second.Flows.end();) {
    const Urgency Key = (Next++)->first;
    if (Key.Deadline < RoomAt && Place >= Early)
      Late.push_back(remove(It->second, Key));
    else
      ++Place;
  }
  eraseIfEmpty(Service);
  return Late;
}

} // namespace dragonflystall::opaque
