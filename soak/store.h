// A stand-in for the users' metadata store: objects in memory, lists, watches
// as long polls, conditional writes; and its faults.
#ifndef DRAGONFLYSTALL_SOAK_STORE_H
#define DRAGONFLYSTALL_SOAK_STORE_H

#include "node/services.h"
#include "platform/standinformats.h"

#include <list>
#include <map>

struct evhttp;
struct evhttp_request;

namespace dragonflystall::soak {

struct StoreFaults {
  bool Down = false;
  Duration Delay{};
  /// Share of writes that are done and not answered.
  double LostAnswers = 0;

  bool any() const {
    return Down || Delay > Duration::zero() || LostAnswers > 0;
  }
};

class Store {
public:
  /// Throws std::runtime_error when the address can't be bound.
  Store(node::Services &Shared, Endpoint Listen);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  /// What an operator writes; it is acknowledged on return.
  void put(platform::ObjectKind Kind, const std::string &Name,
           const std::string &Content);
  void remove(platform::ObjectKind Kind, const std::string &Name);
  void setFaults(const StoreFaults &Faults);
  /// Watches from revisions before now are refused from now on.
  void forgetHistory();
  /// Names of the objects of a kind.
  std::vector<std::string> names(platform::ObjectKind Kind) const;
  /// Call regularly: ends watches that have waited long enough.
  void tick(TimePoint Now);

private:
  struct Event {
    std::string Kind;
    platform::Change What;
  };
  struct Watch {
    evhttp_request *Request;
    platform::StoreCall Call;
    TimePoint Ends;
  };
  using Objects = std::map<std::string, platform::Object>;

  static void onRequest(evhttp_request *Request, void *Self);
  void serve(evhttp_request *Request);
  HttpResponse execute(const HttpRequest &Request,
                       const platform::StoreCall &Call);
  HttpResponse read(const platform::StoreCall &Call) const;
  HttpResponse write(const HttpRequest &Request,
                     const platform::StoreCall &Call);
  /// std::nullopt when nothing has happened yet.
  std::optional<HttpResponse> changesFor(const platform::StoreCall &Call) const;
  void change(const std::string &Kind, platform::Object What, bool Removed);
  void answerWatches();
  /// Answers a call that has waited long enough.
  void finish(const Watch &Due);
  void reply(evhttp_request *Request, const HttpResponse &Response);

  node::Services &Shared_;
  evhttp *Http_;
  std::map<std::string, Objects> Kinds_;
  std::vector<Event> History_;
  int64_t Revision_ = 1;
  int64_t HistoryFrom_ = 1; ///< The oldest revision to watch from.
  std::list<Watch> Watches_;
  StoreFaults Faults_;
};

} // namespace dragonflystall::soak

#endif
