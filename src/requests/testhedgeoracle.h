// Test support: checks what hedging promises, from the messages and actions of
// the agents only. The network must not hold a message for longer than agents
// keep records of duplicates, since these would run again.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TESTHEDGEORACLE_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TESTHEDGEORACLE_H

#include "requests/answer.h"
#include "requests/testagent.h"
#include "types/check.h"

#include <deque>
#include <map>
#include <set>

namespace dragonflystall {

class HedgeOracle {
public:
  /// The highest limit that the settings contain in this run.
  static constexpr uint32_t MaxPercent = 20;

  static std::string bodyOf(Code Method, const std::string &Path,
                            const std::string &Payload) {
    return Method == Code::Post ? Payload : Path.substr(1);
  }

  /// Start identifies one incarnation of an agent.
  void onReceived(uint64_t Start, uint16_t Flow, const Message &Request,
                  TimePoint Now) {
    if (!isRequest(Request.Kind))
      return;
    const std::string Body =
        bodyOf(Request.Kind, Request.Path, Request.Payload);
    // A cancellation that comes after the answer gets an answer of its own.
    if (Request.Cancel) {
      Attempts_[Body].IsCancelled = true;
      return;
    }
    Attempts_[Body].Receivers.insert(Start);
    Bodies_[{Flow, Request.Token}] = Body;
    const bool IsAccepted = isIdempotent(Request.Kind) || Request.Echo;
    if (IsAccepted && Seen_.insert({Start, Flow, Request.Token}).second)
      Requests_[Start].push_back(Now);
  }

  /// An execution of the request begins.
  void onRun(uint64_t Start, uint64_t Job, const RunUpstream &Run,
             bool IsExecuted) {
    const std::string Body = bodyOf(Run.Method, Run.Path, Run.Body);
    Jobs_[{Start, Job}] = {Body, Run.Method};
    Attempt &Record = Attempts_[Body];
    if (!IsExecuted)
      return;
    ++Record.Runs;
    check(!Record.AnsweredNotRun,
          "a hedged request answered as not run never runs");
    check(Record.Hedges == 0 || Record.Receivers.size() > 1 || Record.Runs <= 2,
          "a hedged request has at most two executions");
  }

  void onHedged(uint64_t Start, uint64_t Job, TimePoint Now) {
    ++Hedges_;
    const auto &[Body, Method] = Jobs_.at({Start, Job});
    check(isIdempotent(Method), "only idempotent requests are hedged");
    check(Hedged_.insert({Start, Job}).second,
          "a request is hedged at most once");
    ++Attempts_[Body].Hedges;
    std::deque<TimePoint> &Sent = HedgesOf_[Start];
    Sent.push_back(Now);
    check(100 * inLastMinute(Sent, Now) <=
              MaxPercent * inLastMinute(Requests_[Start], Now),
          "the hedges of any minute are within the limit");
  }

  /// An agent sends an answer, perhaps again.
  void onAnswer(uint16_t Flow, const Message &Answer) {
    const auto It = Bodies_.find({Flow, Answer.Token});
    if (Answer.Kind == Code::Empty || It == Bodies_.end())
      return;
    Attempt &Record = Attempts_[It->second];
    const bool IsOnlyJob = Record.Receivers.size() == 1;
    if (Record.Hedges == 0 || !IsOnlyJob)
      return;
    HedgedAnswers_ += Record.Delivered.empty();
    check(Record.Delivered.empty() || Record.IsCancelled ||
              Record.Delivered == Answer.Payload,
          "a second answer is never delivered");
    Record.Delivered = Answer.Payload;
    if (Answer.Verdict != Verdict::NotRun)
      return;
    check(Record.Runs == 0, "a hedged request answered as not run did not run");
    HedgedNotRun_ += !Record.AnsweredNotRun;
    Record.AnsweredNotRun = true;
  }

  uint64_t hedges() const { return Hedges_; }
  uint64_t hedgedAnswers() const { return HedgedAnswers_; }
  uint64_t hedgedNotRun() const { return HedgedNotRun_; }

private:
  struct Attempt {
    std::set<uint64_t>
        Receivers; ///< Starts of the agents that callers sent to.
    uint32_t Runs = 0;
    uint32_t Hedges = 0;
    std::string Delivered;
    bool AnsweredNotRun = false;
    bool IsCancelled = false;
  };

  static uint64_t inLastMinute(std::deque<TimePoint> &Times, TimePoint Now) {
    while (!Times.empty() && Now - Times.front() >= 1min)
      Times.pop_front();
    return Times.size();
  }

  std::map<std::string, Attempt> Attempts_;
  std::map<std::pair<uint16_t, std::string>, std::string> Bodies_;
  std::map<std::pair<uint64_t, uint64_t>, std::pair<std::string, Code>> Jobs_;
  std::set<std::pair<uint64_t, uint64_t>> Hedged_;
  std::set<std::tuple<uint64_t, uint16_t, std::string>> Seen_;
  /// By start.
  std::map<uint64_t, std::deque<TimePoint>> Requests_;
  std::map<uint64_t, std::deque<TimePoint>> HedgesOf_;
  uint64_t Hedges_ = 0;
  uint64_t HedgedAnswers_ = 0;
  uint64_t HedgedNotRun_ = 0;
};

} // namespace dragonflystall

#endif
