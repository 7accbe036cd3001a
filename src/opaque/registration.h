// Keeps one entry of this process in the store as it should be, through lost
// answers and outages. It decides which call is due; the shell makes it.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_REGISTRATION_H
#define DRAGONFLYSTALL_SRC_OPAQUE_REGISTRATION_H

#include "opaque/control.h"
#include "opaque/storewatch.h"

namespace dragonflystall::opaque {

class Registration {
public:
  enum class Call : uint8_t { Create, Read, Replace, Remove };

  explicit Registration(uint64_t Seed) : Retry_(Seed) {}

  /// The entry that should stand in the store; std::nullopt for none.
  void want(std::optional<AgentEntry> Entry) { Wanted_ = std::move(Entry); }

  /// What the store holds is not known: read it first.
  void doubt() { Unsure_ = true; }

  std::optional<Call> next(TimePoint Now) {
    if (UnderWay_ || settled() || !Retry_.over(Now))
      return std::nullopt;
    UnderWay_ = true;
    if (Unsure_)
      return Call::Read;
    if (!Wanted_)
      return Call::Remove;
    return Revision_ == 0 ? Call::Create : Call::Replace;
  }

  /// The store holds the entry so.
  void onStored(const AgentEntry &Entry, int64_t Revision) {
    UnderWay_ = false;
    Unsure_ = false;
    Retry_.succeed();
    Stored_ = Entry;
    Revision_ = Revision;
  }
  /// The store holds something under the name that is no entry of ours.
  void onForeign(int64_t Revision) {
    UnderWay_ = false;
    Unsure_ = false;
    Stored_.reset();
    Revision_ = Revision;
  }
  /// The store holds nothing under the name.
  void onAbsent() {
    UnderWay_ = false;
    Unsure_ = false;
    Retry_.succeed();
    Stored_.reset();
    Revision_ = 0;
  }
  /// No answer: the call may have been carried out, or may still be.
  void onUnknown(TimePoint Now) {
    UnderWay_ = false;
    Unsure_ = true;
    Retry_.fail(Now);
  }
  /// A certain refusal: nothing was done.
  void onRefused(TimePoint Now) {
    UnderWay_ = false;
    Retry_.fail(Now);
  }
  /// Somebody has seen the store without the entry, as of this revision.
  void onMissing(int64_t AsOf) {
    if (!UnderWay_ && Stored_ && AsOf > Revision_)
      onAbsent();
  }

  bool settled() const {
    return !Unsure_ && Stored_ == Wanted_ && (Wanted_ || Revision_ == 0);
  }
  bool stored() const { return Stored_.has_value(); }
  int64_t revision() const { return Revision_; }
  const std::optional<AgentEntry> &wanted() const { return Wanted_; }

private:
  Backoff Retry_;
  std::optional<AgentEntry> Wanted_;
  std::optional<AgentEntry> Stored_; ///< As last seen in the store.
  int64_t Revision_ = 0;             ///< Of Stored_; 0 when there is none.
  bool Unsure_ = false;
  bool UnderWay_ = false;
};

} // namespace dragonflystall::opaque

#endif
