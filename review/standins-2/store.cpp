// Serves the store's calls with libevent's HTTP server.
#include "store.h"

#include <event2/http.h>
#include <stdexcept>

namespace review {

Store::Store(node::Services &Shared, Endpoint Listen)
    : Shared_(Shared), Http_(evhttp_new(Shared.Base.get())) {
  evhttp_set_gencb(Http_, &Store::onRequest, this);
  evhttp_set_allowed_methods(Http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  if (evhttp_bind_socket(Http_, ipText(Listen.Ip).c_str(), Listen.Port) != 0)
    throw std::runtime_error(toString(Listen) + ": cannot listen");
}

Store::~Store() { evhttp_free(Http_); }

void Store::onRequest(evhttp_request *Request, void *Self) {
  static_cast<Store *>(Self)->serve(Request);
}

void Store::reply(evhttp_request *Request, const HttpResponse &Response) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request), nullptr,
                                nullptr);
  HttpResponse Answer = Response;
  Answer.Headers.push_back({std::string(platform::StoreEraHeader), "1"});
  sendResponse(Request, Answer);
}

void Store::serve(evhttp_request *Request) {
  const HttpRequest Decoded = decodeRequest(Request);
  const auto Call = platform::decodeStoreCall(Decoded);
  if (!Call)
    return reply(Request, emptyJsonResponse(HttpStatus::NotFound));
  if (Refusing_)
    return reply(Request, emptyJsonResponse(HttpStatus::Unavailable));
  if (!Call->WatchFrom)
    return reply(Request, Decoded.Method == HttpMethod::Get
                              ? read(*Call)
                              : write(Decoded, *Call));
  Watches_.push_back({Request, *Call, Shared_.now() + Call->Wait});
  evhttp_connection_set_closecb(
      evhttp_request_get_connection(Request),
      [](evhttp_connection *Closed, void *Self) {
        std::erase_if(
            static_cast<Store *>(Self)->Watches_, [Closed](const Watch &W) {
              return evhttp_request_get_connection(W.Request) == Closed;
            });
      },
      this);
  answerWatches(Shared_.now());
}

HttpResponse Store::read(const platform::StoreCall &Call) const {
  static const std::map<std::string, platform::Object> None;
  const auto Kind = Kinds_.find(Call.Kind);
  const auto &Objects = Kind == Kinds_.end() ? None : Kind->second;
  if (!Call.Name.empty()) {
    const auto It = Objects.find(Call.Name);
    return It == Objects.end()
               ? emptyJsonResponse(HttpStatus::NotFound)
               : jsonResponse(HttpStatus::Ok,
                              platform::encodeObject(It->second));
  }
  platform::Page Page;
  Page.Revision = Revision_;
  for (const auto &[Name, Object] : Objects)
    if (Name > Call.After)
      Page.Objects.push_back(Object);
  return jsonResponse(HttpStatus::Ok, platform::encodePage(Page));
}

HttpResponse Store::write(const HttpRequest &Request,
                          const platform::StoreCall &Call) {
  auto &Objects = Kinds_[Call.Kind];
  const auto It = Objects.find(Call.Name);
  const bool Exists = It != Objects.end();
  const bool IsOther =
      Exists && Call.Revision && *Call.Revision != It->second.Revision;
  if (IsOther || (Exists && Request.Method == HttpMethod::Post))
    return jsonResponse(HttpStatus::Conflict,
                        platform::encodeObject(It->second));
  if (!Exists && Request.Method != HttpMethod::Post)
    return emptyJsonResponse(HttpStatus::NotFound);
  ++Writes_;
  if (Request.Method == HttpMethod::Delete) {
    change(Call.Kind, It->second, /*Removed=*/true);
    return emptyJsonResponse(HttpStatus::Ok);
  }
  // "A PUT that changes nothing does not increment the revision and does not
  // produce an event."
  if (Exists && It->second.Content == Call.Content) {
    ++IdleWrites_;
    return jsonResponse(HttpStatus::Ok, platform::encodeObject(It->second));
  }
  change(Call.Kind, {Call.Name, 0, Call.Content}, /*Removed=*/false);
  return jsonResponse(Exists ? HttpStatus::Ok : HttpStatus::Created,
                      platform::encodeObject(Objects[Call.Name]));
}

void Store::change(const std::string &Kind, platform::Object Object,
                   bool Removed) {
  Object.Revision = ++Revision_;
  if (Removed)
    Kinds_[Kind].erase(Object.Name);
  else
    Kinds_[Kind][Object.Name] = Object;
  History_.push_back({Kind, {std::move(Object), Removed}});
  answerWatches(Shared_.now());
}

void Store::put(const std::string &Kind, const std::string &Name,
                const std::string &Content) {
  change(Kind, {Name, 0, Content}, /*Removed=*/false);
}

void Store::remove(const std::string &Kind, const std::string &Name) {
  const auto It = Kinds_[Kind].find(Name);
  if (It != Kinds_[Kind].end())
    change(Kind, platform::Object(It->second), /*Removed=*/true);
}

void Store::answerWatches(TimePoint Now) {
  for (auto It = Watches_.begin(); It != Watches_.end();) {
    platform::Changes Changes;
    Changes.Revision = Revision_;
    for (const Event &E : History_)
      if (E.Kind == It->Call.Kind &&
          E.Change.Item.Revision > *It->Call.WatchFrom)
        Changes.Events.push_back(E.Change);
    if (Changes.Events.empty() && Now < It->Due) {
      ++It;
      continue;
    }
    evhttp_request *Request = It->Request;
    It = Watches_.erase(It);
    reply(Request, Refusing_ ? emptyJsonResponse(HttpStatus::Unavailable)
                             : jsonResponse(HttpStatus::Ok,
                                            platform::encodeChanges(Changes)));
  }
}

void Store::tick(TimePoint Now) { answerWatches(Now); }

} // namespace review
