// What a load run saw: by phase, by second, by flow and by upstream.
#ifndef DRAGONFLYSTALL_SRC_LOAD_TALLY_H
#define DRAGONFLYSTALL_SRC_LOAD_TALLY_H

#include "dragonflystall/caller.h"
#include "load/answercheck.h"
#include "observe/metrics.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflystall::load {

/// One call that ended. Times are after the start of the run.
struct Sample {
  uint32_t Flow = 0;
  uint32_t Target = 0;
  Duration Started{};
  Duration Ended{};
  bool Post = false;
  std::string Key;
  CallResult Result;
  AnswerCheck Check; ///< Of answers with a body to check.
};

/// A call is counted in the phase in which it ended, or in the one half a
/// second after its start when it lasted longer.
struct PhaseTally {
  std::string Name;
  Duration Start{};
  uint64_t Calls = 0;
  uint64_t Served = 0;     ///< Ran, with the right answer.
  uint64_t Refused = 0;    ///< Not run.
  uint64_t MayHaveRun = 0; ///< With or without an answer.
  uint64_t Failed = 0;     ///< Ran, and the upstream's answer is an error.
  uint64_t Wrong = 0;      ///< Incomplete, or an answer to another request.
  uint64_t Misdelivered = 0;
  uint64_t Stalled = 0; ///< Took longer than a user takes for frozen.
  uint64_t Attempts = 0;
  /// Established flows with a call that ended without an honest answer.
  std::set<uint32_t> BrokenFlows;
  Histogram Latency; ///< Seconds, of served calls.
};

/// One call that broke its flow, with what is needed to tell which fault did.
struct FlowBreak {
  uint32_t Flow = 0;
  std::string Phase;
  Duration At{};
  Duration LastServed{};    ///< When the flow's last good answer came.
  std::string LastUpstream; ///< Which gave it.
};

struct SecondTally {
  uint32_t Started = 0;
  uint32_t Served = 0;
  uint32_t Refused = 0;
  uint32_t MayHaveRun = 0;
  uint32_t OpenFlows = 0;   ///< Established ones, at the end of the second.
  uint32_t BrokenFlows = 0; ///< Distinct ones until then.
  std::map<std::string, uint32_t> ByUpstream;
};

/// What the callers were told about POSTs, to hold against what ran.
struct Told {
  std::vector<std::string> NotRun;
  std::vector<std::string> Ran;
  std::vector<std::string> MayHaveRun;
};

class Tally {
public:
  explicit Tally(uint32_t Flows);

  void startPhase(std::string Name, Duration At);
  void callStarted(Duration At);
  /// No flow was free for a call that was due.
  void callSkipped() { ++Skipped_; }
  void add(const Sample &S);

  const std::deque<PhaseTally> &phases() const { return Phases_; }
  const std::vector<SecondTally> &seconds() const { return Seconds_; }
  const Told &told() const { return Told_; }
  uint64_t skipped() const { return Skipped_; }
  uint32_t brokenFlows() const { return static_cast<uint32_t>(Broken_.size()); }
  uint32_t openFlows() const { return Established_; }
  const std::vector<FlowBreak> &breaks() const { return Breaks_; }
  /// The first calls that broke a flow or had a wrong answer, as text.
  const std::vector<std::string> &findings() const { return Findings_; }
  /// Flows by the upstream that answered them last, for one target.
  std::map<std::string, uint32_t> flowsByUpstream(uint32_t Target) const;

private:
  PhaseTally &phaseAt(Duration At);
  SecondTally &secondAt(Duration At);
  void noteVerdict(const Sample &S);
  void noteFinding(const Sample &S, std::string_view What);
  bool breaksFlow(const Sample &S) const;

  struct FlowState {
    uint32_t Target = 0;
    bool Established = false; ///< Had an answer that was served.
    std::string LastUpstream;
    Duration LastServed{};
  };

  std::deque<PhaseTally> Phases_; ///< In order of Start; never empty.
  std::vector<SecondTally> Seconds_;
  std::vector<FlowState> Flows_;
  std::set<uint32_t> Broken_;
  std::vector<FlowBreak> Breaks_;
  uint32_t Established_ = 0;
  uint64_t Skipped_ = 0;
  Told Told_;
  std::vector<std::string> Findings_;
};

/// The largest share over the mean; 1 when all are equal, 0 when empty.
double imbalance(const std::map<std::string, uint32_t> &Counts);

} // namespace dragonflystall::load

#endif
