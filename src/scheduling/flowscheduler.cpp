// Deadlines of requests, and their packets while they wait.
#include "scheduling/flowscheduler.h"

#include <algorithm>

namespace dragonflystall::scheduling {

namespace {

/// Deadlines are this much earlier at the agent than at the caller: a packet
/// between two zones travels a few milliseconds on each way.
constexpr Duration TravelTime = 15ms;
/// For routes without a timeout: after this time the gate takes a request for
/// lost.
constexpr Duration DefaultTimeout = 2s;

} // namespace

void FlowScheduler::update(const opaque::Manifest &Manifest,
                           const std::string &Service, uint32_t Slots) {
  Classes_.update(Manifest, Service);
  Order_.setSlots(Slots);
  IsActive_ = Slots > 0 && Classes_.areSeveral();
}

uint8_t FlowScheduler::zoneIndex(uint32_t Zone) {
  const auto It = std::find(Zones_.begin(), Zones_.end(), Zone);
  const size_t Index = It - Zones_.begin();
  if (It == Zones_.end() && Zones_.size() < MaxZones)
    Zones_.push_back(Zone);
  return std::min(Index, MaxZones - 1);
}

Stage FlowScheduler::beginWait(uint64_t Key, const opaque::Route &Route,
                               TimePoint Asked, const PacketHead &Head,
                               std::string_view Bytes, TimePoint Now,
                               uint32_t CallerZone) {
  WaitingRequest Request;
  Request.Key = Key;
  Request.Priority = rankOf(&Route);
  Request.Zone = zoneIndex(CallerZone);
  Request.Since = Now;
  const Duration Timeout =
      Route.Timeout > Duration::zero() ? Route.Timeout : DefaultTimeout;
  const Duration Aim = Route.Aim > Duration::zero() ? Route.Aim : Timeout;
  Request.TimeoutBy = Asked + Timeout - TravelTime;
  Request.AimBy = Asked + std::min(Aim, Timeout) - TravelTime;
  if (!Packets_.add(Key, Head, Bytes))
    return startNow();
  if (Order_.add(Request))
    return Stage::Waiting;
  Packets_.take(Key);
  return startNow();
}

bool FlowScheduler::holdMore(uint64_t Key, const PacketHead &Head,
                             std::string_view Bytes, TimePoint Now) {
  if (Packets_.add(Key, Head, Bytes))
    return true;
  releaseUnscheduled(Key, Now);
  Released_.push_back({Head, std::string(Bytes)});
  return false;
}

EndedWait FlowScheduler::end(const WaitingRequest &Request, WaitEnd How,
                             TimePoint Now) {
  EndedWait Result;
  Result.End = How;
  Result.Request = Request;
  Result.Waited = Now - Request.Since;
  std::vector<HeldPacket> Packets = Packets_.take(Request.Key);
  Result.Flow = Packets.front().Head.fromCaller();
  Result.FirstSequence = Packets.front().Head.Sequence;
  if (How == WaitEnd::Released || How == WaitEnd::Unheld)
    std::move(Packets.begin(), Packets.end(), std::back_inserter(Released_));
  if (Ended_.size() < MaxEnded)
    Ended_.push_back(Result);
  return Result;
}

std::vector<EndedWait> FlowScheduler::release(TimePoint Now) {
  std::vector<EndedWait> Result;
  while (const auto Next = Order_.next(Now))
    Result.push_back(end(*Next, WaitEnd::Released, Now));
  return Result;
}

std::vector<EndedWait> FlowScheduler::expire(TimePoint Now) {
  std::vector<EndedWait> Result;
  for (const WaitingRequest &Request : Order_.expire(Now))
    Result.push_back(end(Request, WaitEnd::Expired, Now));
  return Result;
}

void FlowScheduler::abandon(uint64_t Key, TimePoint Now) {
  if (const auto Request = Order_.remove(Key))
    end(*Request, WaitEnd::Abandoned, Now);
}

void FlowScheduler::releaseUnscheduled(uint64_t Key, TimePoint Now) {
  if (const auto Request = Order_.remove(Key))
    end(*Request, WaitEnd::Unheld, Now);
}

std::vector<EndedWait> FlowScheduler::releaseAll(TimePoint Now) {
  std::vector<EndedWait> Result;
  for (const WaitingRequest &Request : Order_.takeAll())
    Result.push_back(end(Request, WaitEnd::Unheld, Now));
  return Result;
}

} // namespace dragonflystall::scheduling
