// The records are limited by count per flow, by total count and by age.
#include "duplicates.h"

#include "answer.h"

#include <algorithm>

namespace dragonflystall {

namespace {

bool matches(const Duplicates::Entry &Entry, const Token &Token,
             uint16_t MessageId) {
  return Entry.MessageId == MessageId && Entry.Token == Token;
}

} // namespace

const Duplicates::Entry *Duplicates::find(const FlowKey &Flow,
                                          const Message &Request) const {
  const auto It = Flows_.find(Flow);
  if (It == Flows_.end())
    return nullptr;
  for (const Entry &Record : It->second)
    if (matches(Record, Request.Token, Request.MessageId))
      return &Record;
  return nullptr;
}

const Duplicates::Entry *Duplicates::findToken(const FlowKey &Flow,
                                               const Token &Token) const {
  const auto It = Flows_.find(Flow);
  if (It == Flows_.end())
    return nullptr;
  const auto HasToken = [&](const Entry &Record) {
    return Record.Token == Token;
  };
  const auto Newest =
      std::find_if(It->second.rbegin(), It->second.rend(), HasToken);
  return Newest == It->second.rend() ? nullptr : &*Newest;
}

void Duplicates::add(const FlowKey &Flow, Entry Value) {
  std::vector<Entry> &Entries = Flows_[Flow];
  if (Entries.size() >= MaxDuplicatesPerFlow) {
    Entries.erase(Entries.begin());
    --Size_;
  }
  Insertions_.push_back({Value.At, Flow});
  Entries.push_back(std::move(Value));
  ++Size_;
}

void Duplicates::begin(const FlowKey &Flow, const Message &Request,
                       TimePoint Now) {
  add(Flow, {Request.Token, Request.MessageId, Now, std::nullopt});
}

void Duplicates::finish(const FlowKey &Flow, const Token &Token,
                        uint16_t MessageId, const Message &Reply) {
  const auto It = Flows_.find(Flow);
  if (It == Flows_.end())
    return;
  for (Entry &Record : It->second) {
    if (!matches(Record, Token, MessageId))
      continue;
    Record.Reply = Reply;
    return;
  }
}

void Duplicates::dropOldest(const FlowKey &Flow) {
  const auto It = Flows_.find(Flow);
  if (It == Flows_.end())
    return;
  It->second.erase(It->second.begin());
  --Size_;
  if (It->second.empty())
    Flows_.erase(It);
}

void Duplicates::dropFlow(const FlowKey &Flow) {
  const auto It = Flows_.find(Flow);
  if (It == Flows_.end())
    return;
  Size_ -= It->second.size();
  Flows_.erase(It);
}

void Duplicates::tick(TimePoint Now) {
  while (!Insertions_.empty()) {
    const Insertion Oldest = Insertions_.front();
    const bool Expired = Now - Oldest.At >= DuplicateLifetime;
    if (!Expired && Size_ <= MaxDuplicates)
      return;
    Insertions_.pop_front();
    const auto It = Flows_.find(Oldest.Flow);
    if (It != Flows_.end() && It->second.front().At <= Oldest.At)
      dropOldest(Oldest.Flow);
  }
}

void Duplicates::exportFlow(const FlowKey &Flow, wire::FlowState &Into) const {
  const auto It = Flows_.find(Flow);
  if (It == Flows_.end())
    return;
  for (const Entry &Record : It->second) {
    // The new holder can't serve the later blocks of a large answer.
    if (!Record.Reply || Record.Reply->Block2)
      continue;
    wire::AnswerRecord &Out = *Into.add_answers();
    Out.set_token(Record.Token);
    Out.set_message_id(Record.MessageId);
    Out.set_echo(Record.Reply->Echo.value_or(""));
    Answer Value;
    Value.Kind = Record.Reply->Kind;
    Value.Verdict = Record.Reply->Verdict.value_or(Verdict::MayHaveRun);
    Value.ContentFormat = Record.Reply->ContentFormat;
    Value.MaxAge = Record.Reply->MaxAge;
    Value.Body = std::make_shared<const std::string>(Record.Reply->Payload);
    *Out.mutable_answer() = toWire(Value);
  }
}

void Duplicates::importFlow(const FlowKey &Flow, const wire::FlowState &From,
                            TimePoint Now) {
  for (const wire::AnswerRecord &Record : From.answers()) {
    const Answer Value = fromWire(Record.answer());
    Message Reply;
    Reply.Type = MessageType::Acknowledgement;
    Reply.MessageId = static_cast<uint16_t>(Record.message_id());
    Reply.Token = Record.token();
    fillMessage(Value, Reply);
    if (!Record.echo().empty())
      Reply.Echo = Record.echo();
    Reply.Payload = *Value.Body;
    add(Flow, {Reply.Token, Reply.MessageId, Now, Reply});
  }
}

} // namespace dragonflystall
