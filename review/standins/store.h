// Stand-in for the platform's metadata store: objects, lists in pages, watches
// and conditional writes, with serializable reads that may be seconds old.
#ifndef DRAGONFLYSTALL_REVIEW_STANDINS_STORE_H
#define DRAGONFLYSTALL_REVIEW_STANDINS_STORE_H

#include "net.h"

#include <list>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace review {

using Json = nlohmann::json;

class Store {
public:
  Store(Loop &Events, Address Local);

  /// Serializable reads show the state as it was this long ago.
  Duration StaleBy{};
  /// Items of a list's page, at most.
  size_t PageItems = 500;
  /// If set, each answer to a watch of this kind that tells of a removal is
  /// sent a second time on its connection, this long after the first.
  std::string RepeatedKind;
  Duration RepeatAfter{};

  /// Writes an object as the operator does; acknowledged on return.
  void put(const std::string &Kind, const std::string &Name, const Json &Spec);
  void remove(const std::string &Kind, const std::string &Name);

private:
  struct Event {
    TimePoint Time;
    int64_t Revision;
    std::string Kind;
    Json Object;
    bool Removed;
  };
  struct PendingWatch {
    std::string Kind;
    int64_t From;
    bool Serializable;
    TimePoint Due;
    HttpServer::Reply Answer;
  };
  using Objects = std::map<std::string, Json>;

  void serve(const HttpMessage &Request, const HttpServer::Reply &Answer);
  void list(const HttpMessage &Request, const std::string &Kind,
            const HttpServer::Reply &Answer) const;
  void write(const HttpMessage &Request, const std::string &Kind,
             std::string Name, const HttpServer::Reply &Answer);
  void apply(const std::string &Kind, const std::string &Name, Json Object,
             bool Removed);
  void answerWatches();
  /// The objects of a kind and the revision of the store as of a time.
  Objects objectsAsOf(const std::string &Kind, TimePoint Time) const;
  int64_t revisionAsOf(TimePoint Time) const;

  Loop &Events_;
  std::vector<Event> History_;
  int64_t Revision_ = 100;
  int64_t FirstRevision_ = 100;
  std::list<PendingWatch> Watches_;
  HttpServer Http_;
};

} // namespace review

#endif
