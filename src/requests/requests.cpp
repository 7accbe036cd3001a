// The public interface of Requests: passes each event to the component that
// handles it.
#include "requests.h"

#include "state.h"

namespace dragonflystall {

namespace {

/// Each component has a random stream, so that a change in how one component
/// uses randomness does not affect the others.
enum class Stream : uint64_t { Core = 0, Tickets = 1, Outbox = 2 };

uint64_t seedOf(uint64_t Seed, Stream Component) {
  return Seed + static_cast<uint64_t>(Component) * 0x9e3779b97f4a7c15ULL;
}

} // namespace

Requests::State::State(AgentIdentity Identity, uint64_t Seed)
    : Self(std::move(Identity)), Random(seedOf(Seed, Stream::Core)),
      Tickets(Self.Self.Agent, seedOf(Seed, Stream::Tickets)),
      Replies(Self.Self.Agent.Id, seedOf(Seed, Stream::Outbox)),
      Limit(Self.Self.Slots) {}

Requests::Requests(AgentIdentity Self, uint64_t Seed)
    : State_(std::make_unique<State>(std::move(Self), Seed)) {}

Requests::~Requests() = default;

void Requests::onMessage(const AgentPacket &Packet, TimePoint Now,
                         AgentActions &Out) {
  State_->onMessage(Packet, Now, Out);
  State_->sweepHedges(Now, Out);
}

void Requests::onUpstream(const UpstreamAnswer &Answer, TimePoint Now,
                          AgentActions &Out) {
  State_->onUpstream(Answer, Now, Out);
  State_->sweepHedges(Now, Out);
}

void Requests::onHint(const UpstreamHint &Hint, TimePoint /*Now*/,
                      AgentActions & /*Out*/) {
  State_->Limit.onHint(Hint);
}

void Requests::onPeer(const wire::ControlMessage &Value, TimePoint Now,
                      AgentActions &Out) {
  State_->onPeer(Value, Now, Out);
  State_->sweepHedges(Now, Out);
}

void Requests::onSettings(const SettingsPtr &Value, TimePoint Now,
                          AgentActions &Out) {
  const ServiceId OwnService =
      serviceId(State_->Self.Team, State_->Self.Service);
  const ServiceSettings *Found = Value ? Value->service(OwnService) : nullptr;
  if (Found == nullptr)
    return;
  State_->Service = *Found;
  State_->Hedges.setPercent(Found->HedgePercent);
  State_->Limit.setSlots(std::min(State_->Self.Self.Slots, Found->MaxSlots));
  State_->drainQueue(Now, Out);
}

void Requests::setPeers(std::vector<PeerView> Peers) {
  State_->Peers = std::move(Peers);
}

void Requests::leave(TimePoint /*Now*/, AgentActions & /*Out*/) {
  State_->Leaving = true;
}

void Requests::tick(TimePoint Now, AgentActions &Out) {
  State &Impl = *State_;
  Impl.LastEventAt = Now;
  for (const auto &[Id, ActiveRun] : Impl.Runs)
    Impl.Limit.onRunning(ActiveRun.Started, Now, Out);
  Impl.sweepJobs(Now, Out);
  Impl.sweepSpills(Now, Out);
  Impl.drainQueue(Now, Out);
  Impl.acknowledgeSlowJobs(Now, Out);
  Impl.sweepHedges(Now, Out);
  Impl.Replies.tick(Now, Out);
  Impl.RecentMessages.tick(Now);
  Impl.Tickets.tick(Now);
  Impl.PendingUploads.tick(Now);
  Impl.LargeAnswers.tick(Now);
  Impl.SpillRecords.tick(Now);
}

std::optional<TimePoint> Requests::nextHedgeAt(TimePoint Now) const {
  return State_->nextHedgeAt(Now);
}

void Requests::sweepHedges(TimePoint Now, AgentActions &Out) {
  State_->sweepHedges(Now, Out);
}

RequestLoad Requests::load() const {
  RequestLoad Result;
  Result.Running = static_cast<uint32_t>(State_->Runs.size());
  Result.Queued = static_cast<uint32_t>(State_->Queue.size());
  Result.Limit = State_->Limit.limit();
  return Result;
}

HedgeReport Requests::hedges(TimePoint Now) const {
  return State_->Hedges.report(Now);
}

size_t Requests::inProgress() const {
  return State_->Jobs.size() + State_->Replies.unacknowledged();
}

bool Requests::isBusy(const FlowKey &Flow) const {
  const State &Impl = *State_;
  return Impl.JobsPerFlow.contains(Flow) ||
         Impl.PendingUploads.isActive(Flow, Impl.LastEventAt) ||
         Impl.LargeAnswers.isActive(Flow, Impl.LastEventAt);
}

wire::FlowState Requests::exportFlow(const FlowKey &Flow, TimePoint Now) {
  wire::FlowState Result;
  Result.mutable_flow()->set_caller_ip(Flow.Caller.Ip);
  Result.mutable_flow()->set_caller_port(Flow.Caller.Port);
  State_->Tickets.exportFlow(Flow, Now, Result);
  State_->RecentMessages.exportFlow(Flow, Result);
  dropFlow(Flow, Now);
  return Result;
}

void Requests::importFlow(const FlowKey &Flow, const wire::FlowState &State,
                          TimePoint Now) {
  if (State_->Tickets.importFlow(Flow, State, Now))
    State_->RecentMessages.importFlow(Flow, State, Now);
}

void Requests::dropFlow(const FlowKey &Flow, TimePoint /*Now*/) {
  State_->RecentMessages.dropFlow(Flow);
  State_->PendingUploads.dropFlow(Flow);
  State_->LargeAnswers.dropFlow(Flow);
}

} // namespace dragonflystall
