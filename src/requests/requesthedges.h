// The inputs of the decision whether a running request is hedged: how long it
// may run before it counts as slow, and how many hedges the service allows.
//
// Load pattern: at one upstream, a few runs take far longer than the others,
// because it pauses, or has become slow a moment ago. When all runs become
// slow, the delay follows them, and until then the budget bounds the extra
// work.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_REQUESTHEDGES_H
#define DRAGONFLYSTALL_SRC_REQUESTS_REQUESTHEDGES_H

#include "dragonflystall/message.h"
#include "hedging/delayestimate.h"
#include "hedging/hedgebudget.h"

#include <array>

namespace dragonflystall {

/// What became of a request that had run for longer than the delay.
enum class RequestHedgeResult : uint8_t {
  Sent,
  Won,           ///< The hedge's answer was delivered.
  Lost,          ///< Another answer was, or the hedge brought none.
  RefusedBudget, ///< Not sent: the service's limit was reached.
  RefusedRoom,   ///< Not sent: jobs were waiting, or no peer had room.
};

constexpr std::array<std::string_view, 5> RequestHedgeResultNames = {
    "sent", "won", "lost", "refused-budget", "refused-room"};
constexpr std::string_view name(RequestHedgeResult Result) {
  return RequestHedgeResultNames[static_cast<size_t>(Result)];
}

using HedgeCounts = std::array<uint64_t, RequestHedgeResultNames.size()>;

struct HedgeReport {
  bool IsOn = false;
  HedgeCounts Counts{};
  double ExtraPercent = 0; ///< Hedges per 100 requests of the last minute.
};

/// Records nothing while the limit is 0.
class RequestHedges {
public:
  /// The limit in hedges per 100 requests; 0 turns hedging off.
  void setPercent(uint32_t Percent) { Budget_.setPercent(Percent); }
  bool isOn() const { return Budget_.percent() > 0; }

  /// A request of a caller was accepted.
  void onRequest(TimePoint Now);
  /// A run was answered, or was cancelled after this time because its hedge
  /// won. Without the latter, the slowest runs would be missing and the delay
  /// would fall until the budget is used up.
  void onRun(Code Method, Duration RunTime, TimePoint Now);
  /// The time after which a run of the method may be hedged. std::nullopt if
  /// too few were answered, or if the method is never hedged.
  std::optional<Duration> delay(Code Method, TimePoint Now);
  /// The least delay of all methods.
  std::optional<Duration> leastDelay(TimePoint Now);
  /// Number of runs from which delay() was computed.
  size_t observations(Code Method) const;

  hedging::HedgeBudget &budget() { return Budget_; }
  void count(RequestHedgeResult Result) {
    ++Counts_[static_cast<size_t>(Result)];
  }
  HedgeReport report(TimePoint Now);

private:
  static constexpr std::array Methods = {Code::Get, Code::Put, Code::Delete};
  static size_t indexOf(Code Method);

  std::array<hedging::DelayEstimate, Methods.size()> Estimates_;
  hedging::HedgeBudget Budget_;
  HedgeCounts Counts_{};
};

} // namespace dragonflystall

#endif
