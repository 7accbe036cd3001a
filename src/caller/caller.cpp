// The calls of one flow: passes each answer to the call that it belongs to.
#include "dragonflystall/caller.h"

#include "caller/exchange.h"

#include <algorithm>
#include <map>

namespace dragonflystall {

struct Caller::State {
  State(uint64_t Seed, Duration AckTimeout) : Flow(Seed, AckTimeout) {}

  Session Flow;
  uint64_t LastId = 0;
  std::map<CallId, Exchange> Calls;

  void removeDone();
};

void Caller::State::removeDone() {
  std::erase_if(Calls, [](const auto &Entry) { return Entry.second.done(); });
}

Caller::Caller(uint64_t Seed, Duration AckTimeout)
    : State_(std::make_unique<State>(Seed, AckTimeout)) {}

Caller::~Caller() = default;

CallId Caller::start(const Call &Request, TimePoint Now, CallerOutput &Out) {
  const CallId Id{++State_->LastId};
  auto It = State_->Calls.try_emplace(Id, Id, Request, Now).first;
  It->second.start(State_->Flow, Now, Out);
  return Id;
}

void Caller::cancel(CallId Id, TimePoint Now, CallerOutput &Out) {
  auto It = State_->Calls.find(Id);
  if (It == State_->Calls.end())
    return;
  It->second.cancel(State_->Flow, Now, Out);
  State_->removeDone();
}

void Caller::onMessage(const Message &Answer, TimePoint Now,
                       CallerOutput &Out) {
  if (isRequest(Answer.Kind))
    return;
  if (Answer.Kind == Code::Empty) {
    for (auto &[Id, Pending] : State_->Calls)
      Pending.onEmpty(Answer, Now, Out);
    State_->removeDone();
    return;
  }
  // A stale answer is acknowledged too; otherwise its sender would continue to
  // retransmit it.
  if (Answer.Type == MessageType::Confirmable) {
    Message Acknowledgement;
    Acknowledgement.Type = MessageType::Acknowledgement;
    Acknowledgement.MessageId = Answer.MessageId;
    Out.Send.push_back(std::move(Acknowledgement));
  }
  auto &Calls = State_->Calls;
  auto It = std::find_if(Calls.begin(), Calls.end(), [&](const auto &Entry) {
    return Entry.second.matches(Answer);
  });
  if (It == Calls.end())
    return;
  It->second.onAnswer(Answer, State_->Flow, Now, Out);
  State_->removeDone();
}

void Caller::tick(TimePoint Now, CallerOutput &Out) {
  for (auto &[Id, Pending] : State_->Calls)
    Pending.tick(State_->Flow, Now, Out);
  State_->removeDone();
}

TimePoint Caller::nextTick() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Id, Pending] : State_->Calls)
    Next = std::min(Next, Pending.nextTick());
  return Next;
}

} // namespace dragonflystall
