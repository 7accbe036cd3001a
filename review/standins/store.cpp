// The store keeps all events; each state of the past follows from them.
#include "store.h"

#include <algorithm>

namespace review {

namespace {

constexpr Duration WatchCheckInterval = 10ms;

} // namespace

Store::Store(Loop &Events, Address Local)
    : Events_(Events),
      Http_(
          Events, Local,
          [this](const HttpMessage &Request, const HttpServer::Reply &Answer) {
            serve(Request, Answer);
          },
          "Store-Era: 1\r\n") {
  Events_.every(WatchCheckInterval, [this] {
    answerWatches();
    return true;
  });
}

Store::Objects Store::objectsAsOf(const std::string &Kind,
                                  TimePoint Time) const {
  Objects Result;
  for (const Event &E : History_) {
    if (E.Time > Time)
      break;
    if (E.Kind != Kind)
      continue;
    const std::string Name = E.Object["meta"]["name"];
    if (E.Removed)
      Result.erase(Name);
    else
      Result[Name] = E.Object;
  }
  return Result;
}

int64_t Store::revisionAsOf(TimePoint Time) const {
  int64_t Result = FirstRevision_;
  for (const Event &E : History_)
    if (E.Time <= Time)
      Result = E.Revision;
  return Result;
}

void Store::apply(const std::string &Kind, const std::string &Name, Json Object,
                  bool Removed) {
  ++Revision_;
  Object["meta"]["name"] = Name;
  Object["meta"]["rev"] = Revision_;
  History_.push_back({now(), Revision_, Kind, std::move(Object), Removed});
  answerWatches();
}

void Store::put(const std::string &Kind, const std::string &Name,
                const Json &Spec) {
  apply(Kind, Name, {{"spec", Spec}}, /*Removed=*/false);
}

void Store::remove(const std::string &Kind, const std::string &Name) {
  const Objects Present = objectsAsOf(Kind, now());
  if (const auto It = Present.find(Name); It != Present.end())
    apply(Kind, Name, It->second, /*Removed=*/true);
}

void Store::serve(const HttpMessage &Request, const HttpServer::Reply &Answer) {
  const std::string Prefix = "/objects/";
  if (!Request.Path.starts_with(Prefix))
    return Answer(404, "{}");
  const std::string Rest = Request.Path.substr(Prefix.size());
  const size_t Slash = Rest.find('/');
  const std::string Kind = Rest.substr(0, Slash);
  const std::string Name =
      Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  if (Request.Method != "GET")
    return write(Request, Kind, Name, Answer);
  const bool Serializable = parameter(Request.Query, "serializable") == "1";
  const std::string From = parameter(Request.Query, "watch");
  if (!From.empty()) {
    const std::string Wait = parameter(Request.Query, "waitMs");
    Watches_.push_back(
        {Kind, std::stoll(From), Serializable,
         now() + std::chrono::milliseconds(Wait.empty() ? 0 : std::stoi(Wait)),
         Answer});
    return answerWatches();
  }
  if (Name.empty())
    return list(Request, Kind, Answer);
  const Objects Present =
      objectsAsOf(Kind, Serializable ? now() - StaleBy : now());
  const auto It = Present.find(Name);
  if (It == Present.end())
    return Answer(404, "{}");
  Answer(200, It->second.dump());
}

void Store::list(const HttpMessage &Request, const std::string &Kind,
                 const HttpServer::Reply &Answer) const {
  const std::string After = parameter(Request.Query, "after");
  TimePoint Time = now();
  if (parameter(Request.Query, "serializable") == "1")
    Time -= StaleBy;
  Json Items = Json::array();
  bool Truncated = false;
  for (const auto &[Name, Object] : objectsAsOf(Kind, Time)) {
    if (Name <= After)
      continue;
    Truncated = Items.size() >= PageItems;
    if (Truncated)
      break;
    Items.push_back(Object);
  }
  const Json Body = {{"items", std::move(Items)},
                     {"truncated", Truncated},
                     {"currentRev", revisionAsOf(Time)}};
  Answer(200, Body.dump());
}

void Store::write(const HttpMessage &Request, const std::string &Kind,
                  std::string Name, const HttpServer::Reply &Answer) {
  Json Body = Json::parse(Request.Body, nullptr, /*allow_exceptions=*/false);
  const bool Creates = Request.Method == "POST";
  if (Creates)
    Name = Body["meta"].value("name", "");
  const Objects Present = objectsAsOf(Kind, now());
  const auto It = Present.find(Name);
  if (It == Present.end() && !Creates)
    return Answer(404, "{}");
  std::optional<int64_t> Condition;
  const std::string InQuery = parameter(Request.Query, "rev");
  if (!InQuery.empty())
    Condition = std::stoll(InQuery);
  else if (Body.is_object() && Body["meta"].contains("rev"))
    Condition = Body["meta"]["rev"];
  if (It != Present.end() &&
      (Creates || (Condition && *Condition != It->second["meta"]["rev"])))
    return Answer(409, It->second.dump());
  if (Request.Method == "DELETE") {
    apply(Kind, Name, It->second, /*Removed=*/true);
    return Answer(200, "{}");
  }
  if (!Creates && It->second["spec"] == Body["spec"])
    return Answer(200, It->second.dump());
  apply(Kind, Name, {{"spec", Body["spec"]}}, /*Removed=*/false);
  Answer(Creates ? 201 : 200, History_.back().Object.dump());
}

void Store::answerWatches() {
  for (auto It = Watches_.begin(); It != Watches_.end();) {
    const TimePoint View = It->Serializable ? now() - StaleBy : now();
    Json Changed = Json::array();
    bool HasRemoval = false;
    for (const Event &E : History_)
      if (E.Time <= View && E.Kind == It->Kind && E.Revision > It->From) {
        Changed.push_back({{"object", E.Object}, {"removed", E.Removed}});
        HasRemoval = HasRemoval || E.Removed;
      }
    if (Changed.empty() && now() < It->Due) {
      ++It;
      continue;
    }
    const Json Body = {{"events", std::move(Changed)},
                       {"currentRev", std::max(It->From, revisionAsOf(View))}};
    const HttpServer::Reply Answer = std::move(It->Answer);
    const bool Repeated = HasRemoval && It->Kind == RepeatedKind;
    It = Watches_.erase(It);
    Answer(200, Body.dump());
    if (Repeated)
      Events_.after(RepeatAfter,
                    [Answer, Text = Body.dump()] { Answer(200, Text); });
  }
}

} // namespace review
