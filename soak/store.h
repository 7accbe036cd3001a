// Simulates the users' metadata store with objects in memory, lists, watches by
// long polling and conditional writes, and injects faults into its answers.
#ifndef DRAGONFLYSTALL_SOAK_STORE_H
#define DRAGONFLYSTALL_SOAK_STORE_H

#include "node/services.h"
#include "platform/standinformats.h"

#include <deque>
#include <list>
#include <map>

struct evhttp;
struct evhttp_request;

namespace dragonflystall::soak {

struct StoreFaults {
  bool Down = false; ///< All calls fail with HttpStatus::Unavailable.
  Duration Delay{};  ///< Of each answer but those to watches.
  /// Share of writes that are executed but whose answer is lost.
  double LostAnswers = 0;

  bool any() const {
    return Down || Delay > Duration::zero() || LostAnswers > 0;
  }
};

class Store {
public:
  /// Throws std::runtime_error if the address cannot be bound.
  Store(node::Services &Shared, Endpoint Listen);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  /// Writes an object as an operator does; acknowledged on return.
  void put(platform::ObjectKind Kind, const std::string &Name,
           const std::string &Content);
  void remove(platform::ObjectKind Kind, const std::string &Name);
  void setFaults(const StoreFaults &Faults);
  /// From now on serializable reads show the state as it was this long ago, but
  /// none from before a restore or a deletion of the history. This is no fault:
  /// the users' store may do so at any time.
  void setStaleReads(Duration Age) { StaleReads_ = Age; }
  /// What a copy of the store holds.
  struct Copy;
  Copy copy() const;
  /// Comes back from a copy: what was written since is lost, and its revisions
  /// are given out again in a new era. Pending calls are not answered.
  void restore(const Copy &Earlier);
  /// Deletes the history: watches from earlier revisions are refused
  /// afterwards.
  void deleteHistory();
  /// Names of the objects of a kind.
  std::vector<std::string> names(platform::ObjectKind Kind) const;
  /// Must be called regularly; answers the calls that are due.
  void tick(TimePoint Now);

private:
  struct Event {
    std::string Kind;
    platform::Change Change;
  };
  /// A call that is answered later: a watch, or any call while Delay is set.
  struct PendingCall {
    evhttp_request *Request;
    platform::StoreCall Call;
    TimePoint Due;
  };
  using Objects = std::map<std::string, platform::Object>;
  struct PastState;

  static void onRequest(evhttp_request *Request, void *Self);
  void serve(evhttp_request *Request);
  HttpResponse execute(const HttpRequest &Request,
                       const platform::StoreCall &Call);
  HttpResponse read(const platform::StoreCall &Call) const;
  /// The state that a read with this consistency sees.
  const PastState &visibleState(bool Serializable) const;
  /// Records the present state for reads that are outdated.
  void recordState();
  HttpResponse write(const HttpRequest &Request,
                     const platform::StoreCall &Call);
  /// The answer to a watch, or std::nullopt if there is no change yet.
  std::optional<HttpResponse> changesFor(const platform::StoreCall &Call) const;
  void applyChange(const std::string &Kind, platform::Object Object,
                   bool Removed);
  void answerWatches();
  /// Answers a pending call that is due.
  void answerDueCall(const PendingCall &Due);
  void reply(evhttp_request *Request, const HttpResponse &Response);

  node::Services &Shared_;
  evhttp *Http_;
  int64_t Era_ = 1;
  std::map<std::string, Objects> Kinds_;
  std::vector<Event> History_;
  int64_t Revision_ = 1;
  /// The oldest revision that a watch may start from.
  int64_t OldestRevision_ = 1;
  /// The state after each change, in order; the last one is the present one.
  std::deque<PastState> States_;
  std::list<PendingCall> PendingCalls_;
  StoreFaults Faults_;
  Duration StaleReads_{};
};

struct Store::Copy {
  std::map<std::string, Objects> Kinds;
  int64_t Revision = 0;
};

struct Store::PastState {
  TimePoint Since;
  Copy State;
};

} // namespace dragonflystall::soak

#endif
