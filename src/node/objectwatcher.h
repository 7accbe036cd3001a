// Keeps up to date with one kind of object in the users' store: reads the list,
// then watches for changes.
#ifndef DRAGONFLYSTALL_SRC_NODE_OBJECTWATCHER_H
#define DRAGONFLYSTALL_SRC_NODE_OBJECTWATCHER_H

#include "node/services.h"
#include "opaque/storewatch.h"
#include "platform/documents.h"
#include "shell/http.h"

namespace dragonflystall::node {

/// Whether the store answers this process, and from which era. Logs each change
/// of either.
class StoreHealth {
public:
  /// A store that has not answered for this time is lost; a single failed call
  /// says little.
  static constexpr Duration LostAfter = 1s;

  explicit StoreHealth(Services &Shared) : Services_(Shared) {}

  void onAnswer(platform::ObjectKind Kind);
  /// Call with the era of each answer, whatever its status. Returns false if
  /// the answer is outdated, since another one was from a later era.
  bool onEra(platform::ObjectKind Kind, int64_t Era);
  void onFailure(platform::ObjectKind Kind, std::string_view Cause);
  bool up() const { return Up_; }
  bool isLost(TimePoint Now) const {
    return !Up_ && Now - DownSince_ >= LostAfter;
  }
  int64_t era() const { return Era_; }

private:
  Services &Services_;
  bool Up_ = true;
  TimePoint DownSince_{}; ///< Unless Up_: time of the first failed call.
  int64_t Era_ = 0;       ///< The latest one that an answer has named.
};

/// Counts calls to the store by kind of object, call and consistency.
class StoreCallCounter {
public:
  explicit StoreCallCounter(Services &Shared) : Services_(Shared) {}
  /// Call is the name of the call in the metrics, such as "list".
  void count(platform::ObjectKind Kind, std::string_view Call,
             platform::Consistency Level = platform::Consistency::Linearizable);

private:
  Services &Services_;
};

/// How the store is watched.
struct WatchSettings {
  Endpoint Store;
  /// How long the store keeps past changes.
  Duration History = 20s;
  platform::Consistency Level = platform::Consistency::Linearizable;
};

class ObjectWatcher {
public:
  struct Callbacks {
    /// Called with each page of a list. First: the list begins, and replaces
    /// all objects known before.
    std::function<void(const platform::Page &, bool First)> OnPage;
    /// Called when the whole list has been read, as of revision(). May be an
    /// empty function.
    std::function<void()> OnListed;
    std::function<void(const platform::Changes &)> OnChanges;
  };

  ObjectWatcher(Services &Shared, StoreHealth &Health,
                const WatchSettings &Watching, platform::ObjectKind Kind,
                Callbacks Notify);

  /// Sets the consistency of the watches. A serializable watch in progress is
  /// replaced if they are to be linearizable from now on.
  void setConsistency(platform::Consistency Level);
  /// See StoreWatch::setPause.
  void setPause(Duration Pause) { Watch_.setPause(Pause); }

  /// Sends the list or watch call that is due, if any.
  void poll(TimePoint Now);
  /// Abandons a watch that has missed a change, and lists again.
  void restart() { restart(platform::Consistency::Linearizable); }
  bool listed() const { return Watch_.listed(); }
  opaque::StoreRevision revision() const { return Watch_.revision(); }

private:
  using Answer = tl::expected<HttpResponse, HttpFailure>;
  void restart(platform::Consistency ListConsistency);
  void onListAnswer(const Answer &Result);
  void onWatchAnswer(const Answer &Result);
  /// Whether the answer continues what was read so far. If not, arranges for
  /// another call.
  bool isOfSameEra(const HttpResponse &Response);
  void onFailure(std::string_view Cause);
  /// Whether the answer may be that to the call in progress, by the revision
  /// that it names. If not, arranges for another call on a new connection.
  bool belongsToCall(const HttpResponse &Response, int64_t Revision);
  /// Removes the events that the watch did not ask for; counts and logs them.
  void dropOutdated(std::vector<platform::Change> &Events);
  /// Counts and logs objects of an answer that could not be read.
  void countSkipped(size_t Objects);

  Services &Services_;
  StoreHealth &Health_;
  platform::ObjectKind Kind_;
  StoreCallCounter Calls_;
  Duration WatchWait_;
  platform::Consistency WatchConsistency_;
  /// Serializable, as a watch brings an outdated list up to date at once. The
  /// list must be linearizable only after the history of a watch was gone or
  /// the watch has missed a change; in a new era of the store it is as
  /// consistent as the watches, since all processes list at about the same
  /// time.
  platform::Consistency ListConsistency_ = platform::Consistency::Serializable;
  Callbacks Callbacks_;
  HttpChannel Channel_;
  opaque::StoreWatch Watch_;
};

} // namespace dragonflystall::node

#endif
