// Follows one kind of object in the users' store by its list and its watch.
#ifndef DRAGONFLYSTALL_SRC_NODE_KINDFOLLOWER_H
#define DRAGONFLYSTALL_SRC_NODE_KINDFOLLOWER_H

#include "node/services.h"
#include "opaque/storewatch.h"
#include "platform/documents.h"
#include "shell/http.h"

namespace dragonflystall::node {

/// Whether the store answers this process; logs when that changes.
class StoreHealth {
public:
  explicit StoreHealth(Services &Shared) : Shared_(Shared) {}

  void onAnswer(platform::ObjectKind Kind);
  void onFailure(platform::ObjectKind Kind, std::string_view Why);
  bool up() const { return Up_; }
  uint64_t calls() const { return Calls_; }
  void onCall() { ++Calls_; }

private:
  Services &Shared_;
  bool Up_ = true;
  uint64_t Calls_ = 0;
};

class KindFollower {
public:
  struct Handler {
    /// First: what was known before is to be replaced.
    std::function<void(const platform::Page &, bool First)> OnPage;
    /// The whole list was read, as of a revision; may be empty.
    std::function<void()> OnListed;
    std::function<void(const platform::Changes &)> OnChanges;
  };

  KindFollower(Services &Shared, StoreHealth &Health, Endpoint Store,
               platform::ObjectKind Kind, platform::Consistency Watches,
               Handler OnNews);

  /// Makes the call that is due, if any.
  void poll(TimePoint Now);
  /// The watch has missed something: drop it and list again.
  void restart();
  bool listed() const { return Watch_.listed(); }
  int64_t revision() const { return Watch_.revision(); }

private:
  using Answer = tl::expected<HttpResponse, HttpFailure>;
  void onListAnswer(const Answer &Result);
  void onWatchAnswer(const Answer &Result);
  void fail(std::string_view Why);

  Services &Shared_;
  StoreHealth &Health_;
  platform::ObjectKind Kind_;
  platform::Consistency Watches_;
  /// A watch brings an old list up to date at once; only when its history is
  /// gone must the list itself be fresh.
  platform::Consistency Lists_ = platform::Consistency::Serializable;
  Handler OnNews_;
  HttpChannel Channel_;
  opaque::StoreWatch Watch_;
};

} // namespace dragonflystall::node

#endif
