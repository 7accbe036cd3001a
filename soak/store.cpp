// Serves the store's calls with libevent's HTTP server.
#include "soak/store.h"

#include <algorithm>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <stdexcept>

namespace dragonflystall::soak {

namespace {

/// States before this are not kept, so that reads are not older.
constexpr Duration MaxStaleness = 10s;

} // namespace

Store::Store(node::Services &Shared, Endpoint Listen)
    : Shared_(Shared), Http_(evhttp_new(Shared.Base.get())) {
  evhttp_set_gencb(Http_, &Store::onRequest, this);
  evhttp_set_allowed_methods(Http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  if (evhttp_bind_socket(Http_, ipText(Listen.Ip).c_str(), Listen.Port) != 0)
    throw std::runtime_error(toString(Listen) +
                             ": cannot bind the store's address");
  recordState();
}

Store::~Store() { evhttp_free(Http_); }

void Store::onRequest(evhttp_request *Request, void *Self) {
  static_cast<Store *>(Self)->serve(Request);
}

void Store::serve(evhttp_request *Request) {
  const HttpRequest Decoded = decodeRequest(Request);
  const auto Call = platform::decodeStoreCall(Decoded);
  if (!Call)
    return reply(Request, emptyJsonResponse(HttpStatus::NotFound));
  if (Faults_.Down)
    return reply(Request, emptyJsonResponse(HttpStatus::Unavailable));
  const TimePoint Now = Shared_.now();
  if (Call->WatchFrom || Faults_.Delay > Duration::zero()) {
    // A delayed call is kept like a watch that ends only by its due time.
    PendingCalls_.push_back({Request, *Call, Now + Call->Wait});
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(Request),
        [](evhttp_connection *Closed, void *Self) {
          auto &S = *static_cast<Store *>(Self);
          std::erase_if(S.PendingCalls_, [Closed](const PendingCall &W) {
            return evhttp_request_get_connection(W.Request) == Closed;
          });
        },
        this);
    if (Call->WatchFrom)
      return answerWatches();
    PendingCalls_.back().Due = Now + Faults_.Delay;
    return;
  }
  const HttpResponse Answer = execute(Decoded, *Call);
  const bool Write = Decoded.Method != HttpMethod::Get;
  if (Write && chance(Shared_.Rng, Faults_.LostAnswers))
    return evhttp_connection_free(evhttp_request_get_connection(Request));
  reply(Request, Answer);
}

HttpResponse Store::execute(const HttpRequest &Request,
                            const platform::StoreCall &Call) {
  return Request.Method == HttpMethod::Get ? read(Call) : write(Request, Call);
}

HttpResponse Store::read(const platform::StoreCall &Call) const {
  const Copy &Visible = visibleState(Call.Serializable).State;
  const auto Kind = Visible.Kinds.find(Call.Kind);
  const Objects None;
  const Objects &Listed = Kind == Visible.Kinds.end() ? None : Kind->second;
  if (!Call.Name.empty()) {
    const auto It = Listed.find(Call.Name);
    return It == Listed.end()
               ? emptyJsonResponse(HttpStatus::NotFound)
               : jsonResponse(HttpStatus::Ok,
                              platform::encodeObject(It->second));
  }
  platform::Page Page;
  Page.Revision = Visible.Revision;
  for (const auto &[Name, Object] : Listed)
    if (Name > Call.After)
      Page.Objects.push_back(Object);
  return jsonResponse(HttpStatus::Ok, platform::encodePage(Page));
}

HttpResponse Store::write(const HttpRequest &Request,
                          const platform::StoreCall &Call) {
  Objects &Kind = Kinds_[Call.Kind];
  const auto It = Kind.find(Call.Name);
  const bool Exists = It != Kind.end();
  const bool Stale =
      Exists && Call.Revision && *Call.Revision != It->second.Revision;
  if (Stale || (Exists && Request.Method == HttpMethod::Post))
    return jsonResponse(HttpStatus::Conflict,
                        platform::encodeObject(It->second));
  if (!Exists && Request.Method != HttpMethod::Post)
    return emptyJsonResponse(HttpStatus::NotFound);
  if (Request.Method == HttpMethod::Delete) {
    applyChange(Call.Kind, It->second, /*Removed=*/true);
    return emptyJsonResponse(HttpStatus::Ok);
  }
  applyChange(Call.Kind, {Call.Name, 0, Call.Content}, /*Removed=*/false);
  return jsonResponse(Exists ? HttpStatus::Ok : HttpStatus::Created,
                      platform::encodeObject(Kinds_[Call.Kind][Call.Name]));
}

void Store::applyChange(const std::string &Kind, platform::Object Object,
                        bool Removed) {
  Object.Revision = ++Revision_;
  if (Removed)
    Kinds_[Kind].erase(Object.Name);
  else
    Kinds_[Kind][Object.Name] = Object;
  History_.push_back({Kind, {std::move(Object), Removed}});
  recordState();
  answerWatches();
}

void Store::recordState() {
  const TimePoint Now = Shared_.now();
  States_.push_back({Now, copy()});
  while (States_.size() > 1 && Now - States_[1].Since > MaxStaleness)
    States_.pop_front();
}

const Store::PastState &Store::visibleState(bool Serializable) const {
  const TimePoint Time =
      Shared_.now() - (Serializable ? StaleReads_ : Duration::zero());
  const auto After =
      std::find_if(States_.begin() + 1, States_.end(),
                   [Time](const PastState &Past) { return Past.Since > Time; });
  return *(After - 1);
}

void Store::put(platform::ObjectKind Kind, const std::string &Name,
                const std::string &Content) {
  applyChange(std::string(name(Kind)), {Name, 0, Content}, /*Removed=*/false);
}

void Store::remove(platform::ObjectKind Kind, const std::string &Name) {
  const auto &Objects = Kinds_[std::string(name(Kind))];
  if (const auto It = Objects.find(Name); It != Objects.end())
    applyChange(std::string(name(Kind)), It->second, /*Removed=*/true);
}

std::vector<std::string> Store::names(platform::ObjectKind Kind) const {
  std::vector<std::string> Result;
  if (const auto It = Kinds_.find(std::string(name(Kind))); It != Kinds_.end())
    for (const auto &[Name, Object] : It->second)
      Result.push_back(Name);
  return Result;
}

std::optional<HttpResponse>
Store::changesFor(const platform::StoreCall &Call) const {
  if (*Call.WatchFrom < OldestRevision_ || *Call.WatchFrom > Revision_)
    return emptyJsonResponse(HttpStatus::Gone);
  const int64_t Visible = visibleState(Call.Serializable).State.Revision;
  platform::Changes Changes;
  Changes.Revision = std::max(Visible, *Call.WatchFrom);
  for (const Event &Entry : History_)
    if (Entry.Kind == Call.Kind &&
        Entry.Change.Item.Revision > *Call.WatchFrom &&
        Entry.Change.Item.Revision <= Visible)
      Changes.Events.push_back(Entry.Change);
  if (Changes.Events.empty())
    return std::nullopt;
  return jsonResponse(HttpStatus::Ok, platform::encodeChanges(Changes));
}

void Store::answerWatches() {
  if (Faults_.any())
    return;
  for (auto It = PendingCalls_.begin(); It != PendingCalls_.end();) {
    const auto Answer =
        It->Call.WatchFrom ? changesFor(It->Call) : std::nullopt;
    evhttp_request *Request = It->Request;
    It = Answer ? PendingCalls_.erase(It) : std::next(It);
    if (Answer)
      reply(Request, *Answer);
  }
}

void Store::tick(TimePoint Now) {
  const auto IsDue = [&](const PendingCall &W) {
    return Faults_.Down || Now >= W.Due;
  };
  // Searched anew each time, as executing a call may answer and remove other
  // watches.
  for (auto It =
           std::find_if(PendingCalls_.begin(), PendingCalls_.end(), IsDue);
       It != PendingCalls_.end();
       It = std::find_if(PendingCalls_.begin(), PendingCalls_.end(), IsDue)) {
    const PendingCall Due = *It;
    PendingCalls_.erase(It);
    answerDueCall(Due);
  }
  answerWatches();
}

void Store::answerDueCall(const PendingCall &Due) {
  if (Faults_.Down)
    return reply(Due.Request, emptyJsonResponse(HttpStatus::Unavailable));
  if (!Due.Call.WatchFrom)
    return reply(Due.Request, execute(decodeRequest(Due.Request), Due.Call));
  const auto Changes = changesFor(Due.Call);
  reply(Due.Request,
        Changes.value_or(jsonResponse(
            HttpStatus::Ok,
            platform::encodeChanges(
                {{},
                 std::max(
                     *Due.Call.WatchFrom,
                     visibleState(Due.Call.Serializable).State.Revision)}))));
}

void Store::reply(evhttp_request *Request, const HttpResponse &Response) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(Request), nullptr,
                                nullptr);
  HttpResponse Answer = Response;
  Answer.Headers.push_back(
      {std::string(platform::StoreEraHeader), std::to_string(Era_)});
  sendResponse(Request, Answer);
}

void Store::setFaults(const StoreFaults &Faults) {
  Faults_ = Faults;
  tick(Shared_.now());
}

Store::Copy Store::copy() const { return {Kinds_, Revision_}; }

void Store::restore(const Copy &Earlier) {
  while (!PendingCalls_.empty())
    // Closing the connection removes its call.
    evhttp_connection_free(
        evhttp_request_get_connection(PendingCalls_.front().Request));
  ++Era_;
  Kinds_ = Earlier.Kinds;
  Revision_ = Earlier.Revision;
  std::erase_if(History_, [&](const Event &Entry) {
    return Entry.Change.Item.Revision > Revision_;
  });
  States_.clear();
  recordState();
}

void Store::deleteHistory() {
  History_.clear();
  // The new revision refuses pending watches as well as later ones from earlier
  // revisions.
  OldestRevision_ = ++Revision_;
  States_.clear();
  recordState();
  answerWatches();
}

} // namespace dragonflystall::soak
