// Block-wise transfer of request and answer bodies, as a caller sees it.
#include "testagent.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

constexpr uint16_t BlockBytes = 1024;

Message answerIn(const AgentActions &Actions) {
  const auto Sent = actionsOfType<SendMessage>(Actions);
  return Sent.empty() ? Message() : Sent.back().Value;
}

Message part(const TestAgent &Agent, const std::string &Echo,
             const std::string &Body, uint32_t Number) {
  Message Part = Agent.postWithTicket(Echo, "b" + std::to_string(Number));
  Part.Payload = Body.substr(size_t{Number} * BlockBytes, BlockBytes);
  const bool More = (size_t{Number} + 1) * BlockBytes < Body.size();
  Part.Block1 = Block{Number, More, BlockBytes};
  return Part;
}

TEST(Blockwise, ABodyInBlocksIsOneRequest) {
  TestAgent Agent(testIdentity("a"));
  const std::string Echo = Agent.obtainTicket();
  std::string Body(5 * BlockBytes + 7, 'x');
  Body[3000] = 'y';
  AgentActions Out;
  for (uint32_t I = 0; I < 5; ++I) {
    Out = Agent.receive(part(Agent, Echo, Body, I));
    EXPECT_EQ(answerIn(Out).Kind, Code::Continue);
    EXPECT_FALSE(answerIn(Out).Verdict.has_value());
    EXPECT_TRUE(Agent.Core.isBusy(Agent.flow()));
  }
  // A block that is repeated as a new message has no effect.
  Agent.receive(part(Agent, Echo, Body, 4));
  const auto Runs =
      actionsOfType<RunUpstream>(Agent.receive(part(Agent, Echo, Body, 5)));
  ASSERT_EQ(Runs.size(), 1U);
  EXPECT_EQ(Runs[0].Body, Body);
  const Message Answer = answerIn(Agent.answerRun(Runs[0].Run));
  EXPECT_EQ(Answer.Block1->Number, 5U);
  EXPECT_EQ(Answer.Verdict, Verdict::Ran);
}

TEST(Blockwise, TheFirstBlockNeedsATicket) {
  TestAgent Agent(testIdentity("a"));
  const std::string Body(3000, 'x');
  EXPECT_EQ(answerIn(Agent.receive(part(Agent, "", Body, 0))).Kind,
            Code::Unauthorized);
}

TEST(Blockwise, AGapIsRefusedAndItsTicketBurnt) {
  TestAgent Agent(testIdentity("a"));
  const std::string Echo = Agent.obtainTicket();
  const std::string Body(4 * BlockBytes, 'x');
  Agent.receive(part(Agent, Echo, Body, 0));
  const Message Refusal = answerIn(Agent.receive(part(Agent, Echo, Body, 2)));
  EXPECT_EQ(Refusal.Kind, Code::RequestEntityIncomplete);
  EXPECT_EQ(Refusal.Verdict, Verdict::NotRun);
  // A caller that starts again with the ticket is asked to take a new one.
  const Message Again = answerIn(Agent.receive(part(Agent, Echo, Body, 0)));
  EXPECT_EQ(Again.Kind, Code::Unauthorized);
  EXPECT_TRUE(Again.Echo.has_value());
}

TEST(Blockwise, ABodyAboveTheBoundIsRefused) {
  TestAgent Agent(testIdentity("a"));
  auto Settings = std::make_shared<dragonflystall::Settings>();
  ServiceSettings Service;
  Service.Id = Agent.flow().Service;
  Service.MaxMessageBytes = BlockBytes;
  Settings->Services.push_back(Service);
  AgentActions Out;
  Agent.Core.onSettings(Settings, Agent.Now, Out);
  const std::string Echo = Agent.obtainTicket();
  const std::string Body(3 * BlockBytes, 'x');
  Agent.receive(part(Agent, Echo, Body, 0));
  EXPECT_EQ(answerIn(Agent.receive(part(Agent, Echo, Body, 1))).Kind,
            Code::RequestEntityTooLarge);
}

TEST(Blockwise, ALargeAnswerRunsOnceForAllItsBlocks) {
  TestAgent Agent(testIdentity("a"));
  std::string Body(1 << 20, 'x');
  Body[500'000] = 'y';
  Agent.receive(TestAgent::request(Code::Get, "first"));
  Message Answer = answerIn(Agent.answerRun(RunId{1}, Body));
  const std::optional<std::string> Etag = Answer.Etag;
  EXPECT_EQ(Answer.Size2, Body.size());
  std::string Fetched = Answer.Payload;
  while (Answer.Block2->More && Fetched.size() < Body.size()) {
    Message Next = TestAgent::request(Code::Get, "later");
    Next.Block2 = Block{Answer.Block2->Number + 1, false, BlockBytes};
    const AgentActions Out = Agent.receive(Next);
    ASSERT_TRUE(actionsOfType<RunUpstream>(Out).empty());
    Answer = answerIn(Out);
    ASSERT_EQ(Answer.Etag, Etag);
    Fetched += Answer.Payload;
  }
  EXPECT_EQ(Fetched, Body);
}

TEST(Blockwise, ABlockOfAnUnknownAnswerRunsNothing) {
  TestAgent Agent(testIdentity("a"));
  Message Later = TestAgent::request(Code::Get);
  Later.Block2 = Block{3, false, BlockBytes};
  const AgentActions Out = Agent.receive(Later);
  EXPECT_TRUE(actionsOfType<RunUpstream>(Out).empty());
  EXPECT_EQ(answerIn(Out).Kind, Code::RequestEntityIncomplete);
}

} // namespace
} // namespace dragonflystall
