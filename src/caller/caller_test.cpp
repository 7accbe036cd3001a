// The caller library through its public interface: each call ends with exactly
// one result, and its verdict is correct.
#include "dragonflystall/caller.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

class CallerTest : public ::testing::Test {
protected:
  CallId start(Code Method, std::string Body = "", Duration Timeout = 5s) {
    Call Request;
    Request.Method = Method;
    Request.Path = "/entries";
    Request.Body = std::move(Body);
    Request.Timeout = Timeout;
    return Flow_.start(Request, Now_, Out_);
  }
  /// The message that the caller sent last.
  const Message &sent() const { return Out_.Send.back(); }
  void advance(Duration Time) {
    Now_ += Time;
    Flow_.tick(Now_, Out_);
  }
  void answer(const Message &To, Code Kind, Verdict V, std::string Payload = "",
              std::optional<std::string> Echo = {}) {
    Message Answer = answerTo(To, Kind);
    Answer.Verdict = V;
    Answer.Payload = std::move(Payload);
    Answer.Echo = std::move(Echo);
    Flow_.onMessage(Answer, Now_, Out_);
  }
  static Message answerTo(const Message &To, Code Kind) {
    Message Answer;
    Answer.Type = MessageType::Acknowledgement;
    Answer.Kind = Kind;
    Answer.MessageId = To.MessageId;
    Answer.Token = To.Token;
    return Answer;
  }
  void demandTicket(std::string Ticket) {
    answer(sent(), Code::Unauthorized, Verdict::NotRun, "", std::move(Ticket));
  }

  Caller Flow_{1};
  CallerOutput Out_;
  TimePoint Now_{};
};

TEST_F(CallerTest, PostGetsATicketFirstAndRunsWithIt) {
  start(Code::Post, "sign-off");
  EXPECT_FALSE(sent().Echo);
  demandTicket("t1");
  EXPECT_EQ(sent().Echo, "t1");
  EXPECT_EQ(sent().Payload, "sign-off");
  answer(sent(), Code::Changed, Verdict::Ran, "done");
  ASSERT_EQ(Out_.Done.size(), 1U);
  EXPECT_EQ(Out_.Done[0].Outcome, Verdict::Ran);
  EXPECT_EQ(Out_.Done[0].Body, "done");
}

TEST_F(CallerTest, NextTicketSavesTheRoundTripWhileItIsFresh) {
  start(Code::Get);
  answer(sent(), Code::Content, Verdict::Ran, "", "next");
  start(Code::Post, "a");
  EXPECT_EQ(sent().Echo, "next");
  answer(sent(), Code::Changed, Verdict::Ran, "", "old");
  advance(3s);
  start(Code::Post, "b");
  EXPECT_FALSE(sent().Echo) << "used a ticket whose issuer may have failed";
}

TEST_F(CallerTest, TwoCallsNeverShareATicket) {
  start(Code::Get);
  answer(sent(), Code::Content, Verdict::Ran, "", "next");
  start(Code::Post, "a");
  start(Code::Post, "b");
  EXPECT_FALSE(sent().Echo);
}

TEST_F(CallerTest, LostTicketedRequestIsRepeatedWithTheSameTicketOnly) {
  start(Code::Post, "once", 200s);
  demandTicket("t1");
  const size_t First = Out_.Send.size() - 1;
  for (int I = 0; I < 190; ++I)
    advance(1s);
  ASSERT_GT(Out_.Send.size(), First + 5)
      << "no new attempt after the last retransmission";
  for (size_t I = First; I < Out_.Send.size(); ++I)
    EXPECT_EQ(Out_.Send[I].Echo, "t1");
  advance(20s);
  ASSERT_EQ(Out_.Done.size(), 1U);
  EXPECT_EQ(Out_.Done[0].Outcome, Verdict::MayHaveRun);
}

TEST_F(CallerTest, SecondDemandAfterTheTicketWasSentEndsTheCall) {
  start(Code::Post, "once");
  demandTicket("t1");
  Message Demand = answerTo(sent(), Code::Unauthorized);
  Demand.Echo = "t2";
  Flow_.onMessage(Demand, Now_, Out_);
  ASSERT_EQ(Out_.Done.size(), 1U);
  EXPECT_EQ(Out_.Done[0].Outcome, Verdict::MayHaveRun);
  EXPECT_EQ(sent().Echo, "t1");
}

TEST_F(CallerTest, PostSentWithoutATicketIsNotRun) {
  start(Code::Post, "x");
  advance(5s);
  ASSERT_EQ(Out_.Done.size(), 1U);
  EXPECT_EQ(Out_.Done[0].Outcome, Verdict::NotRun);
}

TEST_F(CallerTest, RetransmitsUntilAcknowledgedThenWaitsForTheAnswer) {
  start(Code::Get, "", 30s);
  const Message First = sent();
  advance(3s);
  ASSERT_EQ(Out_.Send.size(), 2U);
  EXPECT_EQ(sent(), First);
  Message Empty;
  Empty.Type = MessageType::Acknowledgement;
  Empty.MessageId = First.MessageId;
  Flow_.onMessage(Empty, Now_, Out_);
  advance(20s);
  EXPECT_EQ(Out_.Send.size(), 2U);
  Message Separate = answerTo(First, Code::Content);
  Separate.Type = MessageType::Confirmable;
  Separate.MessageId = 77;
  Separate.Verdict = Verdict::Ran;
  Flow_.onMessage(Separate, Now_, Out_);
  EXPECT_EQ(sent().Type, MessageType::Acknowledgement);
  EXPECT_EQ(sent().MessageId, 77);
  EXPECT_EQ(Out_.Done.size(), 1U);
}

TEST_F(CallerTest, ReorderedAndRepeatedAnswersMatchTheirCalls) {
  const CallId A = start(Code::Get);
  const Message RequestA = sent();
  const CallId B = start(Code::Get);
  const Message RequestB = sent();
  answer(RequestB, Code::Content, Verdict::Ran, "b");
  answer(RequestB, Code::Content, Verdict::Ran, "b again");
  answer(RequestA, Code::Content, Verdict::Ran, "a");
  ASSERT_EQ(Out_.Done.size(), 2U);
  EXPECT_EQ(Out_.Done[0].Id, B);
  EXPECT_EQ(Out_.Done[0].Body, "b");
  EXPECT_EQ(Out_.Done[1].Id, A);
  EXPECT_EQ(Out_.Done[1].Body, "a");
}

TEST_F(CallerTest, AnswerToAnEarlierAttemptIsDropped) {
  start(Code::Get);
  const Message First = sent();
  Message Refusal = answerTo(First, Code::ServiceUnavailable);
  Refusal.Verdict = Verdict::NotRun;
  Refusal.MaxAge = 1s;
  Flow_.onMessage(Refusal, Now_, Out_);
  advance(900ms);
  EXPECT_EQ(Out_.Send.size(), 1U) << "retried before the retry-after time";
  advance(100ms);
  ASSERT_EQ(Out_.Send.size(), 2U);
  answer(First, Code::Content, Verdict::Ran, "stale");
  EXPECT_TRUE(Out_.Done.empty());
  answer(sent(), Code::Content, Verdict::Ran, "fresh");
  EXPECT_EQ(Out_.Done.at(0).Body, "fresh");
}

TEST_F(CallerTest, RefusalThatLeavesNoTimeToRetryIsReturned) {
  start(Code::Post, "x", 2s);
  demandTicket("t1");
  Message Refusal = answerTo(sent(), Code::ServiceUnavailable);
  Refusal.Verdict = Verdict::NotRun;
  Refusal.MaxAge = 3s;
  Flow_.onMessage(Refusal, Now_, Out_);
  ASSERT_EQ(Out_.Done.size(), 1U);
  EXPECT_EQ(Out_.Done[0].Outcome, Verdict::NotRun);
  EXPECT_EQ(Out_.Done[0].RetryAfter, Duration(3s));
}

TEST_F(CallerTest, RefusedTicketIsNotUsedAgain) {
  start(Code::Post, "x");
  demandTicket("t1");
  Message Refusal = answerTo(sent(), Code::ServiceUnavailable);
  Refusal.Verdict = Verdict::NotRun;
  Refusal.MaxAge = 1s;
  Flow_.onMessage(Refusal, Now_, Out_);
  advance(1s);
  EXPECT_FALSE(sent().Echo);
  demandTicket("t2");
  EXPECT_EQ(sent().Echo, "t2");
}

TEST_F(CallerTest, LostGetThatIsThenRefusedMayHaveRun) {
  start(Code::Get, "", 200s);
  for (int I = 0; I < 100; ++I)
    advance(1s);
  answer(sent(), Code::NotFound, Verdict::NotRun);
  ASSERT_EQ(Out_.Done.size(), 1U);
  EXPECT_EQ(Out_.Done[0].Outcome, Verdict::MayHaveRun);
}

TEST_F(CallerTest, ChangedEtagRestartsTheDownload) {
  start(Code::Get);
  const auto Part = [&](uint32_t Number, bool More, std::string Etag,
                        std::string Payload) {
    Message Answer = answerTo(sent(), Code::Content);
    Answer.Verdict = Verdict::Ran;
    Answer.Block2 = Block{Number, More, 16};
    Answer.Etag = std::move(Etag);
    Answer.Payload = std::move(Payload);
    Flow_.onMessage(Answer, Now_, Out_);
  };
  Part(0, true, "v1", "0123456789abcdef");
  ASSERT_TRUE(sent().Block2);
  EXPECT_EQ(sent().Block2->Number, 1U);
  Part(1, false, "v2", "other version");
  EXPECT_TRUE(Out_.Done.empty());
  Part(0, true, "v2", "ABCDEFGHIJKLMNOP");
  Part(1, false, "v2", "end");
  ASSERT_EQ(Out_.Done.size(), 1U);
  EXPECT_EQ(Out_.Done[0].Body, "ABCDEFGHIJKLMNOPend");
}

TEST_F(CallerTest, LargeBodyIsSentInBlocksWithOneTicketAndTag) {
  std::string Body(2500, 'x');
  start(Code::Post, Body);
  demandTicket("t1");
  const std::optional<std::string> Tag = sent().RequestTag;
  ASSERT_TRUE(Tag);
  std::string Received;
  for (;;) {
    const Message Part = sent();
    ASSERT_TRUE(Part.Block1);
    EXPECT_EQ(Part.Echo, "t1");
    EXPECT_EQ(Part.RequestTag, Tag);
    EXPECT_EQ(size_t{Part.Block1->Number} * Part.Block1->Size, Received.size());
    Received += Part.Payload;
    if (!Part.Block1->More)
      break;
    // The answer to each block, beginning with the first, asks for smaller
    // blocks.
    Message Continue = answerTo(Part, Code::Continue);
    Continue.Block1 = Block{Part.Block1->Number, true, 512};
    Flow_.onMessage(Continue, Now_, Out_);
  }
  EXPECT_EQ(Received, Body);
}

TEST_F(CallerTest, CancelHasTheRequestsTokenAndMayHaveRunWithoutAnswer) {
  const CallId Id = start(Code::Post, "x");
  demandTicket("t1");
  const Token Running = sent().Token;
  Flow_.cancel(Id, Now_, Out_);
  EXPECT_TRUE(sent().Cancel);
  EXPECT_EQ(sent().Token, Running);
  EXPECT_TRUE(Out_.Done.empty()) << "ended before the answer or the time-out";
  advance(1s);
  ASSERT_EQ(Out_.Done.size(), 1U);
  EXPECT_EQ(Out_.Done[0].Outcome, Verdict::MayHaveRun);
}

} // namespace
} // namespace dragonflystall
