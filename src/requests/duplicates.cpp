// The records are limited by count per flow, by total count and by age.
#include "duplicates.h"

#include "answer.h"

#include <algorithm>

namespace dragonflystall {

namespace {

bool isOf(const Duplicates::Entry &Entry, const Token &Token,
          uint16_t MessageId) {
  return Entry.MessageId == MessageId && Entry.Token == Token;
}

} // namespace

const Duplicates::Entry *Duplicates::find(const FlowKey &Flow,
                                          const Message &Request) const {
  const auto Of = Flows_.find(Flow);
  if (Of == Flows_.end())
    return nullptr;
  for (const Entry &Each : Of->second)
    if (isOf(Each, Request.Token, Request.MessageId))
      return &Each;
  return nullptr;
}

const Duplicates::Entry *Duplicates::findToken(const FlowKey &Flow,
                                               const Token &Token) const {
  const auto Of = Flows_.find(Flow);
  if (Of == Flows_.end())
    return nullptr;
  const auto Same = [&](const Entry &Each) { return Each.Token == Token; };
  const auto At = std::find_if(Of->second.rbegin(), Of->second.rend(), Same);
  return At == Of->second.rend() ? nullptr : &*At;
}

void Duplicates::add(const FlowKey &Flow, Entry Value) {
  std::vector<Entry> &Of = Flows_[Flow];
  if (Of.size() >= MaxDuplicatesPerFlow) {
    Of.erase(Of.begin());
    --Size_;
  }
  Order_.push_back({Value.At, Flow});
  Of.push_back(std::move(Value));
  ++Size_;
}

void Duplicates::begin(const FlowKey &Flow, const Message &Request,
                       TimePoint Now) {
  add(Flow, {Request.Token, Request.MessageId, Now, std::nullopt});
}

void Duplicates::finish(const FlowKey &Flow, const Token &Token,
                        uint16_t MessageId, const Message &Given) {
  const auto Of = Flows_.find(Flow);
  if (Of == Flows_.end())
    return;
  for (Entry &Each : Of->second) {
    if (!isOf(Each, Token, MessageId))
      continue;
    Each.Given = Given;
    return;
  }
}

void Duplicates::dropOldest(const FlowKey &Flow) {
  const auto Of = Flows_.find(Flow);
  if (Of == Flows_.end())
    return;
  Of->second.erase(Of->second.begin());
  --Size_;
  if (Of->second.empty())
    Flows_.erase(Of);
}

void Duplicates::dropFlow(const FlowKey &Flow) {
  const auto Of = Flows_.find(Flow);
  if (Of == Flows_.end())
    return;
  Size_ -= Of->second.size();
  Flows_.erase(Of);
}

void Duplicates::tick(TimePoint Now) {
  while (!Order_.empty()) {
    const Mark Oldest = Order_.front();
    const bool Late = Now - Oldest.At >= DuplicateLifetime;
    if (!Late && Size_ <= MaxDuplicates)
      return;
    Order_.pop_front();
    const auto Of = Flows_.find(Oldest.Flow);
    if (Of != Flows_.end() && Of->second.front().At <= Oldest.At)
      dropOldest(Oldest.Flow);
  }
}

void Duplicates::exportFlow(const FlowKey &Flow, wire::FlowState &Into) const {
  const auto Of = Flows_.find(Flow);
  if (Of == Flows_.end())
    return;
  for (const Entry &Each : Of->second) {
    // The new holder can't serve the later blocks of a large answer.
    if (!Each.Given || Each.Given->Block2)
      continue;
    wire::AnswerRecord &Out = *Into.add_answers();
    Out.set_token(Each.Token);
    Out.set_message_id(Each.MessageId);
    Out.set_echo(Each.Given->Echo.value_or(""));
    Answer Value;
    Value.Kind = Each.Given->Kind;
    Value.Verdict = Each.Given->Verdict.value_or(Verdict::MayHaveRun);
    Value.ContentFormat = Each.Given->ContentFormat;
    Value.MaxAge = Each.Given->MaxAge;
    Value.Body = std::make_shared<const std::string>(Each.Given->Payload);
    *Out.mutable_answer() = toWire(Value);
  }
}

void Duplicates::importFlow(const FlowKey &Flow, const wire::FlowState &From,
                            TimePoint Now) {
  for (const wire::AnswerRecord &Each : From.answers()) {
    const Answer Value = fromWire(Each.answer());
    Message Given;
    Given.Type = MessageType::Acknowledgement;
    Given.MessageId = static_cast<uint16_t>(Each.message_id());
    Given.Token = Each.token();
    describe(Value, Given);
    if (!Each.echo().empty())
      Given.Echo = Each.echo();
    Given.Payload = *Value.Body;
    add(Flow, {Given.Token, Given.MessageId, Now, Given});
  }
}

} // namespace dragonflystall
