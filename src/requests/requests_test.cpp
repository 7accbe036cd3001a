// The behaviour of one agent towards its callers: answers, tickets, duplicates
// and acknowledgements.
#include "testagent.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

Message onlyAnswer(const AgentActions &Actions) {
  const auto Sent = actionsOfType<SendMessage>(Actions);
  EXPECT_EQ(Sent.size(), 1U);
  return Sent.empty() ? Message() : Sent[0].Value;
}

RunId onlyRun(const AgentActions &Actions) {
  const auto Runs = actionsOfType<RunUpstream>(Actions);
  EXPECT_EQ(Runs.size(), 1U);
  return Runs.empty() ? RunId::None : Runs[0].Run;
}

TEST(Requests, AnIdempotentRequestRunsAtOnce) {
  TestAgent Agent(testIdentity("a"));
  const RunId Run =
      onlyRun(Agent.receive(TestAgent::request(Code::Get, "abc")));
  const Message Answer = onlyAnswer(Agent.answerRun(Run, "body"));
  EXPECT_EQ(Answer.Type, MessageType::Acknowledgement);
  EXPECT_EQ(Answer.Kind, Code::Content);
  EXPECT_EQ(Answer.Token, "abc");
  EXPECT_EQ(Answer.Payload, "body");
  EXPECT_EQ(Answer.Verdict, Verdict::Ran);
  EXPECT_EQ(Agent.Core.inProgress(), 0U);
}

TEST(Requests, ANonIdempotentRequestNeedsATicketAndRunsOnce) {
  TestAgent Agent(testIdentity("a"));
  Message First = TestAgent::request(Code::Post);
  First.MessageId = 77;
  const Message Challenge = onlyAnswer(Agent.receive(First));
  EXPECT_EQ(Challenge.Kind, Code::Unauthorized);
  EXPECT_EQ(Challenge.Verdict, Verdict::NotRun);
  // A retransmission gets the same ticket.
  EXPECT_EQ(onlyAnswer(Agent.receive(First)), Challenge);
  const RunId Run =
      onlyRun(Agent.receive(Agent.postWithTicket(*Challenge.Echo, "u")));
  const Message Answer = onlyAnswer(Agent.answerRun(Run));
  EXPECT_EQ(Answer.Verdict, Verdict::Ran);
  EXPECT_NE(Answer.Echo, Challenge.Echo);
  // The same ticket under a new token gets the outcome, and runs nothing.
  const AgentActions Again =
      Agent.receive(Agent.postWithTicket(*Challenge.Echo, "v"));
  EXPECT_TRUE(actionsOfType<RunUpstream>(Again).empty());
  EXPECT_EQ(onlyAnswer(Again).Payload, "done");
  EXPECT_EQ(onlyAnswer(Again).Token, "v");
}

TEST(Requests, ASlowAnswerIsAcknowledgedAndSentUntilAcknowledged) {
  TestAgent Agent(testIdentity("a"));
  const RunId Run = onlyRun(Agent.receive(TestAgent::request(Code::Put)));
  const Message Empty = onlyAnswer(Agent.advance(200ms));
  EXPECT_EQ(Empty.Kind, Code::Empty);
  const Message Answer = onlyAnswer(Agent.answerRun(Run));
  EXPECT_EQ(Answer.Type, MessageType::Confirmable);
  EXPECT_EQ(actionsOfType<SendMessage>(Agent.advance(3s)).size(), 1U);
  Message Ack;
  Ack.Type = MessageType::Acknowledgement;
  Ack.MessageId = Answer.MessageId;
  Agent.receive(Ack);
  EXPECT_TRUE(actionsOfType<SendMessage>(Agent.advance(60s)).empty());
}

} // namespace
} // namespace dragonflystall
