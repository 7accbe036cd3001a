// Follows one kind of object in the store: lists all objects, then watches for
// changes from there, and lists again if the store no longer has the history or
// has come back from an older copy of itself.
// The class decides which call is due; its user makes the call.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_STOREWATCH_H
#define DRAGONFLYSTALL_SRC_OPAQUE_STOREWATCH_H

#include "dragonflystall/clock.h"
#include "opaque/storerevision.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace dragonflystall::opaque {

/// Exponential backoff: the delay doubles from MinDelay to MaxDelay; up to half
/// of it is taken off at random.
class Backoff {
public:
  static constexpr Duration MinDelay = 200ms;
  static constexpr Duration MaxDelay = 1500ms;

  explicit Backoff(uint64_t Seed) : Rng_(Seed) {}

  bool hasElapsed(TimePoint Now) const { return Now >= NextTry_; }
  void onFailure(TimePoint Now) {
    Delay_ = std::clamp(2 * Delay_, MinDelay, MaxDelay);
    const double Jitter = std::uniform_real_distribution<>(0.5, 1)(Rng_);
    NextTry_ = Now + std::chrono::duration_cast<Duration>(Jitter * Delay_);
  }
  void onSuccess() {
    Delay_ = Duration::zero();
    NextTry_ = {};
  }

private:
  Random Rng_;
  Duration Delay_{};
  TimePoint NextTry_{};
};

class StoreWatch {
public:
  /// How long the store may delay the answer to a watch if there is no event,
  /// at the most.
  static constexpr Duration MaxWatchWait = 25s;
  /// The same for a store that keeps this much history: a watch that outlasts
  /// the history can't be continued.
  static Duration watchWait(Duration History) {
    return std::min(MaxWatchWait, History * 3 / 4);
  }

  struct Call {
    /// Unset: list the names that follow AfterName. Set: watch from this
    /// revision.
    std::optional<int64_t> WatchFrom;
    std::string AfterName;
    /// The watch should be answered at once, whether or not there are events:
    /// the answer names the store's era.
    bool IsProbe = false;
  };

  explicit StoreWatch(uint64_t Seed) : Retry_(Seed) {}

  /// Sets the least time between the answer to a watch and the next call, so
  /// that changes in quick succession share an answer.
  void setPause(Duration Pause) { Pause_ = Pause; }

  /// Returns the call that is due and marks it as in progress.
  std::optional<Call> next(TimePoint Now) {
    if (CallInProgress_ || !Retry_.hasElapsed(Now) || Now < NextWatch_)
      return std::nullopt;
    CallInProgress_ = true;
    Call Due{{}, ListAfter_, IsEraUncertain_};
    if (Revision_)
      Due.WatchFrom = Revision_->Number;
    return Due;
  }

  /// Whether a page that ends with this name continues the list. The same page
  /// again would never end it.
  bool advances(const std::string &LastName) const {
    return LastName > ListAfter_;
  }
  /// Whether what was read so far belongs to another era of the store than an
  /// answer does. If so, call restart() in place of onPage() or onEvents().
  bool isOfAnotherEra(int64_t Era) const {
    if (Revision_)
      return Revision_->Era != Era;
    return ListedFrom_.isSet() && ListedFrom_.Era != Era;
  }
  /// Whether an answer that names this revision of the store may belong to the
  /// call in progress. An older one is that to an earlier call. IsLinearizable:
  /// the call was; a serializable list may be older than what was read before.
  bool mayBeAnswer(StoreRevision Answer, bool IsLinearizable) const {
    if (Revision_)
      return Answer >= *Revision_;
    return !IsLinearizable || Answer >= Newest_;
  }
  /// Whether the watch in progress asks for an event of this revision: not for
  /// those that were read before it began.
  bool asksFor(int64_t EventRevision) const {
    return EventRevision > revision().Number;
  }
  /// A page of a list was read. Truncated: more names follow LastName.
  /// Must not be called with a page that does not advance; see advances().
  void onPage(StoreRevision Revision, bool Truncated,
              const std::string &LastName) {
    CallInProgress_ = false;
    IsEraUncertain_ = false;
    Retry_.onSuccess();
    // Watch from the smallest revision of all pages, so that no change between
    // two pages is missed: a serializable read may answer a later page from an
    // older state than the page before.
    ListedFrom_ =
        ListedFrom_.isSet() ? std::min(ListedFrom_, Revision) : Revision;
    Newest_ = std::max(Newest_, Revision);
    ListAfter_ = Truncated ? LastName : "";
    if (Truncated)
      return;
    Revision_ = ListedFrom_;
    ListedFrom_ = {};
  }
  void onEvents(StoreRevision Revision, TimePoint Now) {
    CallInProgress_ = false;
    if (!std::exchange(IsEraUncertain_, false))
      NextWatch_ = Now + Pause_;
    Retry_.onSuccess();
    Revision_ = std::max(Revision, *Revision_);
    Newest_ = std::max(Newest_, *Revision_);
  }
  /// Starts over with a list, if the store no longer has the history or the
  /// watch has missed a change. Must not be called while a call is in progress.
  void restart() {
    CallInProgress_ = false;
    Revision_.reset();
    NextWatch_ = {};
    ListAfter_.clear();
    ListedFrom_ = {};
  }
  /// The user has abandoned the watch in progress; another one, from the same
  /// revision, is due at once.
  void onAbandoned() {
    CallInProgress_ = false;
    NextWatch_ = {};
  }
  void onFailure(TimePoint Now) {
    CallInProgress_ = false;
    // While it did not answer, the store may have come back from a copy, and
    // may have reached the watch's revision again.
    IsEraUncertain_ = true;
    Retry_.onFailure(Now);
  }

  /// Whether the whole list was read and changes are watched.
  bool listed() const { return Revision_.has_value(); }
  /// Whether a watch is in progress.
  bool isWatching() const { return CallInProgress_ && Revision_; }
  /// Whether the next onPage() starts a new list.
  bool isAtFirstPage() const { return !ListedFrom_.isSet(); }
  StoreRevision revision() const { return Revision_.value_or(StoreRevision{}); }

private:
  Backoff Retry_;
  bool CallInProgress_ = false;
  Duration Pause_{};
  TimePoint NextWatch_{};
  std::optional<StoreRevision> Revision_;
  std::string ListAfter_;
  /// The smallest revision of the pages read so far; not set between lists.
  StoreRevision ListedFrom_;
  /// The greatest revision that an answer has named.
  StoreRevision Newest_;
  /// The last call has failed; the answer to the next one names the era.
  bool IsEraUncertain_ = false;
};

/// Tells whether a watch has stopped working, by what peers knew before it.
/// Serializable watches may be seconds late. Position: a version or revision
/// that grows.
template <typename Position> class WatchLag {
public:
  /// A watch that is later than MaxLag has missed the change.
  explicit WatchLag(Duration MaxLag) : MaxLag_(MaxLag) {}

  /// A peer has brought this, and the watch has yet to deliver it.
  void onPeerAhead(Position Known, TimePoint Now) {
    if (!Owed_)
      Owed_ = {Known, Now};
  }
  /// The watch has delivered this. Newest: all that is known from any source.
  void onDelivered(Position Delivered, Position Newest, TimePoint Now) {
    if (!Owed_ || Delivered < Owed_->Known)
      return;
    Owed_.reset();
    if (Delivered < Newest)
      onPeerAhead(Newest, Now);
  }
  /// Whether the watch must be replaced. If so, it owes nothing afterwards.
  bool takeOverdue(TimePoint Now) {
    if (!Owed_ || Now - Owed_->Since <= MaxLag_)
      return false;
    Owed_.reset();
    return true;
  }

private:
  struct Debt {
    Position Known;
    TimePoint Since;
  };
  Duration MaxLag_;
  std::optional<Debt> Owed_; ///< The earliest.
};

} // namespace dragonflystall::opaque

#endif
