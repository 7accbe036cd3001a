// Keeps the store entry of this process up to date despite lost answers and
// outages. The class decides which call is due; its user makes the call.
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
    CallInProgress_ = true;
    if (NeedsRead_)
      return Call::Read;
    if (NeedsCheck_)
      return Call::Check;
    if (!Wanted_)
      return Call::Remove;
    return Revision_.isSet() ? Call::Replace : Call::Create;
  }

  /// The store has this entry.
  void onStored(const AgentEntry &Entry, StoreRevision Revision) {
    CallInProgress_ = false;
    NeedsRead_ = false;
    NeedsCheck_ = false;
    Retry_.onSuccess();
    Stored_ = Entry;
    Revision_ = Revision;
  }
  /// The store has an object under the name that is not an agent entry. Its
  /// writer may put it back again and again.
  void onForeign(StoreRevision Revision, TimePoint Now) {
    CallInProgress_ = false;
    Retry_.onFailure(Now);
    NeedsRead_ = false;
    NeedsCheck_ = false;
    Stored_.reset();
    Revision_ = Revision;
  }
  /// The store has no object under the name.
  void onAbsent() {
    CallInProgress_ = false;
    NeedsRead_ = false;
    NeedsCheck_ = false;
    Retry_.onSuccess();
    Stored_.reset();
    Revision_ = {};
  }
  /// The call got no answer: it may have been carried out, or still will be.
  void onUnknown(TimePoint Now) {
    CallInProgress_ = false;
    NeedsRead_ = true;
    Retry_.onFailure(Now);
  }
  /// The store has refused the call and changed nothing.
  void onRefused(TimePoint Now) {
    CallInProgress_ = false;
    Retry_.onFailure(Now);
  }
  /// A balancer has read a list without the entry, as of this revision.
  void onMissing(StoreRevision AsOf) {
    if (!CallInProgress_ && Stored_ && AsOf > Revision_)
      onAbsent();
  }

  bool isSettled() const {
    return !NeedsRead_ && !NeedsCheck_ && Stored_ == Wanted_ &&
           (Wanted_ || !Revision_.isSet());
  }
  bool isStored() const { return Stored_.has_value(); }
  StoreRevision revision() const { return Revision_; }
  const std::optional<AgentEntry> &wanted() const { return Wanted_; }

private:
  Backoff Retry_;
  std::optional<AgentEntry> Wanted_;
  std::optional<AgentEntry> Stored_; ///< As last seen in the store.
  /// Revision of the object under the name; not set if there is none.
  StoreRevision Revision_;
  int64_t Era_ = 0; ///< Of the store; 0 until it is known.
  bool NeedsRead_ = false;
  bool NeedsCheck_ = false;
  bool CallInProgress_ = false;
};

} // namespace dragonflystall::opaque

#endif
