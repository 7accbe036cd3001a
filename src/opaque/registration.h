// Keeps the store entry of this process up to date despite lost answers and
// outages, and tells whether the store is known to have it. The class decides
// which call is due; its user makes the call.
// Load pattern: agents join, restart and change service while the store is
// slow, loses answers, carries out calls late, or returns from a copy.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_REGISTRATION_H
#define DRAGONFLYSTALL_SRC_OPAQUE_REGISTRATION_H

#include "opaque/control.h"
#include "opaque/storewatch.h"

namespace dragonflystall::opaque {

class Registration {
public:
  enum class Call : uint8_t {
    Create,
    Read,
    Check, ///< A read whose answer may be outdated within the store's era.
    Replace,
    Remove,
  };

  static constexpr std::array<std::string_view, 5> CallNames = {
      "create", "read", "check", "replace", "remove"};
  friend constexpr std::string_view name(Call C) {
    return CallNames[static_cast<size_t>(C)];
  }

  explicit Registration(uint64_t Seed) : Retry_(Seed) {}

  /// Sets the entry that the store should have; std::nullopt for none.
  void setWanted(std::optional<AgentEntry> Entry) {
    Wanted_ = std::move(Entry);
  }

  /// Marks the stored entry as unknown, so that the next call reads it.
  void markUnknown() { NeedsRead_ = true; }
  /// Call with the era of the store whenever it may have changed, and before an
  /// answer of that era is handled. A new era may lack the entry, or may have
  /// one again that was removed. Any state of the era shows which, so that the
  /// read that follows need not be linearizable.
  void onEra(int64_t Era) {
    if (Era_ != 0 && Era_ != Era)
      NeedsCheck_ = true;
    Era_ = Era;
  }

  std::optional<Call> next(TimePoint Now) {
    if (CallInProgress_ || isSettled() || !Retry_.hasElapsed(Now))
      return std::nullopt;
    CallInProgress_ = dueCall();
    if (*CallInProgress_ == Call::Replace || *CallInProgress_ == Call::Remove)
      ChangedRevision_ = Revision_;
    return CallInProgress_;
  }

  /// The store has this entry.
  void onStored(const AgentEntry &Entry, StoreRevision Revision) {
    CallInProgress_.reset();
    NeedsRead_ = false;
    NeedsCheck_ = false;
    Retry_.onSuccess();
    Stored_ = Entry;
    Revision_ = Revision;
  }
  /// The store has an object under the name that is not an agent entry. Its
  /// writer may put it back again and again.
  void onForeign(StoreRevision Revision, TimePoint Now) {
    CallInProgress_.reset();
    Retry_.onFailure(Now);
    NeedsRead_ = false;
    NeedsCheck_ = false;
    Stored_.reset();
    Revision_ = Revision;
  }
  /// The store has no object under the name.
  void onAbsent() {
    CallInProgress_.reset();
    NeedsRead_ = false;
    NeedsCheck_ = false;
    Retry_.onSuccess();
    Stored_.reset();
    Revision_ = {};
  }
  /// The call got no answer: it may have been carried out, or still will be.
  void onUnknown(TimePoint Now) {
    CallInProgress_.reset();
    NeedsRead_ = true;
    Retry_.onFailure(Now);
  }
  /// The store has refused the call and changed nothing.
  void onRefused(TimePoint Now) {
    CallInProgress_.reset();
    Retry_.onFailure(Now);
  }
  /// A balancer has read a list without the entry, as of this revision.
  void onMissing(StoreRevision AsOf) {
    if (Confirmed_ && AsOf > Confirmed_->Revision)
      Confirmed_.reset();
    if (!CallInProgress_ && Stored_ && AsOf > Revision_)
      onAbsent();
  }
  /// A balancer has read an entry of this name with this hash and revision.
  void onSeenByBalancer(uint32_t EntryHash, StoreRevision Revision) {
    // The revision that a call was to change may be gone from the store.
    const bool MayBeGone = Revision <= ChangedRevision_;
    if (Wanted_ && hashOf(*Wanted_) == EntryHash && Revision.Era >= Era_ &&
        !MayBeGone && !isBeingChanged())
      Confirmed_ = {*Wanted_, Revision};
  }

  /// Whether the store is known to have the wanted entry, in its newest known
  /// era: it has acknowledged the entry, or a balancer has read it.
  bool isListed() const {
    if (!Wanted_ || isBeingChanged())
      return false;
    if (Confirmed_ && Confirmed_->Entry == *Wanted_ &&
        Confirmed_->Revision.Era >= Era_ &&
        Confirmed_->Revision > ChangedRevision_)
      return true;
    return isSettled();
  }

  bool isSettled() const {
    if (NeedsRead_ || NeedsCheck_ || Stored_ != Wanted_)
      return false;
    // A call to change or remove this revision may still be carried out: the
    // entry gets another revision by a new call.
    return Wanted_ ? Revision_ != ChangedRevision_ : !Revision_.isSet();
  }
  bool isStored() const { return Stored_.has_value(); }
  StoreRevision revision() const { return Revision_; }
  const std::optional<AgentEntry> &wanted() const { return Wanted_; }

private:
  /// An entry that a balancer has read.
  struct ConfirmedEntry {
    AgentEntry Entry;
    StoreRevision Revision;
  };

  Call dueCall() const {
    if (NeedsRead_)
      return Call::Read;
    if (NeedsCheck_)
      return Call::Check;
    if (!Wanted_)
      return Call::Remove;
    return Revision_.isSet() ? Call::Replace : Call::Create;
  }
  /// Whether a call in progress may take the wanted entry from the store.
  bool isBeingChanged() const {
    return CallInProgress_ == Call::Remove ||
           (CallInProgress_ == Call::Replace && Stored_ == Wanted_);
  }

  Backoff Retry_;
  std::optional<AgentEntry> Wanted_;
  std::optional<AgentEntry> Stored_; ///< As last seen in the store.
  /// Revision of the object under the name; not set if there is none.
  StoreRevision Revision_;
  /// The revision that the last Replace or Remove was to change.
  StoreRevision ChangedRevision_;
  /// The last entry that a balancer has read, unless it is known to be gone.
  std::optional<ConfirmedEntry> Confirmed_;
  int64_t Era_ = 0; ///< Of the store; 0 until it is known.
  bool NeedsRead_ = false;
  bool NeedsCheck_ = false;
  std::optional<Call> CallInProgress_;
};

} // namespace dragonflystall::opaque

#endif
