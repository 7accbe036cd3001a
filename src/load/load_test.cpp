// What the load report counts as broken, wrong, run twice or falsely told.
#include "load/answercheck.h"
#include "load/evidence.h"
#include "load/tally.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace dragonflystall::load {
namespace {

const Endpoint Scanner = *parseEndpoint("127.0.0.1:4000");

AnswerCheck check(const std::string &Body, size_t Bytes = 0) {
  return checkAnswer(Body, {"tags", "k1", Scanner, Bytes});
}

std::string answerOf(const std::string &Service, const std::string &Key,
                     const std::string &Caller = "127.0.0.1:4000") {
  return fmt::format(
      R"({{"service":"{}","upstream":"u","key":"{}","caller":"{}"}})"
      "\n",
      Service, Key, Caller);
}

TEST(AnswerCheck, TellsWholeCutCrossedAndMisdeliveredAnswersApart) {
  const std::string Right = answerOf("tags", "k1");
  EXPECT_EQ(check(Right).Result, Correctness::Right);
  EXPECT_EQ(check(Right).Upstream, "u");
  EXPECT_EQ(check(answerOf("tags", "k2")).Result, Correctness::OtherRequest);
  EXPECT_EQ(check(answerOf("tags", "k1", "127.0.0.1:1")).Result,
            Correctness::OtherRequest);
  EXPECT_EQ(check(answerOf("receipts", "k1")).Result,
            Correctness::Misdelivered);
  EXPECT_EQ(check("").Result, Correctness::Incomplete);
  const std::string Large = Right + Right + Right;
  EXPECT_EQ(check(Large, Large.size()).Result, Correctness::Right);
  EXPECT_EQ(check(Right, Large.size()).Result, Correctness::Incomplete);
  std::string Damaged = Large;
  Damaged[Right.size() + 3] ^= 1;
  EXPECT_EQ(check(Damaged, Large.size()).Result, Correctness::Incomplete);
}

Sample sample(Duration Started, Duration Ended, Verdict V,
              Code Kind = Code::Content) {
  Sample S;
  S.Started = Started;
  S.Ended = Ended;
  S.Post = true;
  S.Key = "some-key";
  S.Result.Outcome = V;
  S.Result.Kind = Kind;
  if (V == Verdict::Ran)
    S.Check = {Correctness::Right, "upstream"};
  return S;
}

TEST(Tally, OnlyAnEstablishedFlowBreaksAndNotByAnHonestRefusal) {
  Tally Seen(1);
  Seen.add(sample(0s, 5s, Verdict::MayHaveRun, Code::Empty));
  EXPECT_EQ(Seen.brokenFlows(), 0U);
  Seen.add(sample(5s, 6s, Verdict::Ran));
  Seen.add(sample(6s, 7s, Verdict::NotRun, Code::ServiceUnavailable));
  EXPECT_EQ(Seen.brokenFlows(), 0U);
  Seen.add(sample(7s, 8s, Verdict::NotRun, Code::Empty));
  EXPECT_EQ(Seen.brokenFlows(), 1U) << "no answer at all";
}

TEST(Tally, FaultIsChargedWithTheCallsThatItMeetsUnderWay) {
  Tally Seen(1);
  Seen.startPhase("fault", 1s);
  Seen.add(sample(900ms, 950ms, Verdict::Ran));
  Seen.add(sample(960ms, 6s, Verdict::MayHaveRun, Code::Empty));
  EXPECT_EQ(Seen.phases()[0].Served, 1U);
  EXPECT_EQ(Seen.phases()[0].BrokenFlows.size(), 0U);
  EXPECT_EQ(Seen.phases()[1].BrokenFlows.size(), 1U);
}

TEST(Evidence, HoldsWhatRanAgainstWhatWasTold) {
  Evidence Seen;
  Seen.Upstreams.resize(2);
  Seen.Upstreams[0].Runs = {{"twice", 1}, {"told-not", 1}, {"fine", 1}};
  Seen.Upstreams[1].Runs = {{"twice", 1}};
  const Judgement Result =
      judge({{"told-not", "never"}, {"fine", "lost"}, {"twice"}}, Seen);
  EXPECT_EQ(Result.DoubleRuns, std::vector<std::string>{"twice"});
  EXPECT_EQ(Result.FalseNotRun, std::vector<std::string>{"told-not"});
  EXPECT_EQ(Result.FalseRan, std::vector<std::string>{"lost"});
}

TEST(Imbalance, IsTheLargestOverTheMean) {
  EXPECT_DOUBLE_EQ(imbalance({{"a", 10}, {"b", 10}}), 1.0);
  EXPECT_DOUBLE_EQ(imbalance({{"a", 30}, {"b", 10}}), 1.5);
  EXPECT_DOUBLE_EQ(imbalance({}), 0.0);
}

} // namespace
} // namespace dragonflystall::load
