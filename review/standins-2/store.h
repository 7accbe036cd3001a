// A stand-in for the platform's metadata store: objects in memory, lists,
// watches by long polling and conditional writes, as PROTOCOL.md has them.
#ifndef REVIEW_STANDINS_2_STORE_H
#define REVIEW_STANDINS_2_STORE_H

#include "node/services.h"
#include "platform/standinformats.h"

#include <list>
#include <map>
#include <string>
#include <vector>

struct evhttp;
struct evhttp_request;

namespace review {

using namespace dragonflystall;

class Store {
public:
  /// Throws std::runtime_error if the address cannot be bound.
  Store(node::Services &Shared, Endpoint Listen);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  /// Writes or removes an object as the operator does.
  void put(const std::string &Kind, const std::string &Name,
           const std::string &Content);
  void remove(const std::string &Kind, const std::string &Name);
  /// While set, each call is refused with 503 and changes nothing.
  void refuse(bool Refusing) { Refusing_ = Refusing; }
  /// Must be called regularly; answers the watches that are due.
  void tick(TimePoint Now);
  /// Writes by nodes that were carried out, and of these, those that changed
  /// nothing, since the start.
  uint64_t writes() const { return Writes_; }
  uint64_t idleWrites() const { return IdleWrites_; }

private:
  struct Event {
    std::string Kind;
    platform::Change Change;
  };
  struct Watch {
    evhttp_request *Request;
    platform::StoreCall Call;
    TimePoint Due;
  };

  static void onRequest(evhttp_request *Request, void *Self);
  void serve(evhttp_request *Request);
  HttpResponse read(const platform::StoreCall &Call) const;
  HttpResponse write(const HttpRequest &Request,
                     const platform::StoreCall &Call);
  void change(const std::string &Kind, platform::Object Object, bool Removed);
  void answerWatches(TimePoint Now);
  static void reply(evhttp_request *Request, const HttpResponse &Response);

  node::Services &Shared_;
  evhttp *Http_;
  std::map<std::string, std::map<std::string, platform::Object>> Kinds_;
  std::vector<Event> History_;
  std::list<Watch> Watches_;
  int64_t Revision_ = 1;
  bool Refusing_ = false;
  uint64_t Writes_ = 0;
  uint64_t IdleWrites_ = 0;
};

} // namespace review

#endif
