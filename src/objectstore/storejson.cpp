// Converts HTTP status codes and JSON bodies to typed answers and back.
#include "objectstore/storejson.h"

#include "objectstore/hugenumbers.h"
#include "types/jsoninput.h"

#include <charconv>
#include <optional>
#include <utility>
#include <vector>

namespace dragonflystall {

namespace {

using Json = nlohmann::json;

constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpForbidden = 403;
constexpr int HttpNotFound = 404;
constexpr int HttpPreconditionFailed = 412;
constexpr int HttpTooManyRequests = 429;
constexpr int HttpServerError = 500;
constexpr int HttpUnavailable = 503;
constexpr Duration DefaultRetryAfter = 1s;
constexpr int64_t MaxRetryAfterSeconds = 60;

StoreStatus statusOf(int Http) {
  switch (Http) {
  case HttpOk:
    return StoreStatus::Done;
  case HttpForbidden:
    return StoreStatus::Forbidden;
  case HttpNotFound:
    return StoreStatus::Absent;
  case HttpPreconditionFailed:
    return StoreStatus::Conflict;
  case HttpTooManyRequests:
    return StoreStatus::Busy;
  default:
    return Http >= HttpServerError ? StoreStatus::Lost : StoreStatus::Invalid;
  }
}

int httpOf(StoreStatus Status) {
  switch (Status) {
  case StoreStatus::Done:
    return HttpOk;
  case StoreStatus::Forbidden:
    return HttpForbidden;
  case StoreStatus::Absent:
    return HttpNotFound;
  case StoreStatus::Conflict:
    return HttpPreconditionFailed;
  case StoreStatus::Busy:
    return HttpTooManyRequests;
  case StoreStatus::Invalid:
    return HttpBadRequest;
  case StoreStatus::NotSent:
  case StoreStatus::Lost:
    return HttpUnavailable;
  }
  return HttpUnavailable;
}

Duration retryAfterOf(const std::string &Header) {
  int64_t Seconds = 0;
  const char *End = Header.data() + Header.size();
  const auto [ParsedEnd, Error] = std::from_chars(Header.data(), End, Seconds);
  if (Error != std::errc() || ParsedEnd != End || Seconds < 0)
    return DefaultRetryAfter;
  return std::chrono::seconds(std::min(Seconds, MaxRetryAfterSeconds));
}

std::optional<uint64_t> versionOf(const Json &Body, const char *Name) {
  const auto It = Body.find(Name);
  if (It == Body.end() || !It->is_number_unsigned())
    return std::nullopt;
  return It->get<uint64_t>();
}

std::string textOf(const Json &Body, const char *Name) {
  const auto It = Body.find(Name);
  return It != Body.end() && It->is_string() ? It->get<std::string>() : "";
}

/// Whether arrays and objects are nested deeper than any of ours. Printing
/// takes stack for each level.
bool isDeep(const Json &Value) {
  const size_t MaxDepth = JsonLimits{}.MaxDepth;
  std::vector<std::pair<const Json *, size_t>> Pending = {{&Value, 1}};
  while (!Pending.empty()) {
    const auto [Next, Depth] = Pending.back();
    Pending.pop_back();
    if (!Next->is_structured())
      continue;
    if (Depth > MaxDepth)
      return true;
    for (const Json &Child : *Next)
      Pending.push_back({&Child, Depth + 1});
  }
  return false;
}

std::optional<StoredObject> objectOf(const Json &Body) {
  if (!Body.is_object())
    return std::nullopt;
  StoredObject Object;
  const auto Version = versionOf(Body, "version");
  Object.Key = textOf(Body, "key");
  if (!Version || *Version == 0 || Object.Key.empty())
    return std::nullopt;
  Object.Version = *Version;
  Object.Writer = textOf(Body, "writer");
  const auto Deleted = Body.find("deleted");
  Object.Deleted = Deleted != Body.end() && *Deleted == true;
  const auto Value = Body.find("value");
  if (!Object.Deleted && Value == Body.end())
    return std::nullopt;
  if (!Object.Deleted && isDeep(*Value))
    Object.Value = "null"; // Which no reader of settings or rosters accepts.
  else if (!Object.Deleted)
    Object.Value = Value->dump(-1, ' ', false, Json::error_handler_t::replace);
  return Object;
}

/// Reads {"revision":R,"objects":[..]}. False if the body has another form, an
/// object lies outside of the prefix or is newer than the revision.
bool readObjects(const Json &Body, const std::string &Prefix,
                 StoreAnswer &Answer) {
  const auto Revision = versionOf(Body, "revision");
  const auto List = Body.find("objects");
  if (!Revision || List == Body.end() || !List->is_array())
    return false;
  Answer.Revision = *Revision;
  for (const Json &Entry : *List) {
    auto Object = objectOf(Entry);
    if (!Object || !Object->Key.starts_with(Prefix) ||
        Object->Version > *Revision)
      return false;
    Answer.Objects.push_back(*std::move(Object));
  }
  return true;
}

bool readObject(const Json &Body, const std::string &Key, StoreAnswer &Answer) {
  auto Object = objectOf(Body);
  if (!Object || Object->Key != Key)
    return false;
  Answer.Revision = Object->Version;
  Answer.Objects.push_back(*std::move(Object));
  return true;
}

bool readBody(const StoreCall &Call, const Json &Body, StoreAnswer &Answer) {
  if (!Body.is_object())
    return false;
  if (Call.Kind == StoreCallKind::Get)
    return readObject(Body, Call.Key, Answer);
  if (!isWrite(Call.Kind))
    return readObjects(Body, Call.Key, Answer);
  const auto Version = versionOf(Body, "version");
  Answer.Revision = Version.value_or(0);
  return Answer.Revision != 0;
}

/// The result is discarded if the text is not valid JSON.
Json parseAnswer(const std::string &Text) {
  Json Body = Json::parse(Text, nullptr, false);
  if (Body.is_discarded())
    Body = Json::parse(withoutHugeNumbers(Text), nullptr, false);
  return Body;
}

Json toJson(const StoredObject &Object) {
  Json Out = {{"key", Object.Key},
              {"version", Object.Version},
              {"writer", Object.Writer}};
  if (Object.Deleted)
    Out["deleted"] = true;
  else
    Out["value"] = Json::parse(Object.Value, nullptr, false);
  return Out;
}

Json bodyOf(const StoreCall &Call, const StoreAnswer &Answer) {
  if (Call.Kind == StoreCallKind::Get)
    return Answer.Objects.empty() ? Json::object()
                                  : toJson(Answer.Objects.front());
  if (isWrite(Call.Kind))
    return {{"version", Answer.Revision}};
  Json Objects = Json::array();
  for (const StoredObject &Object : Answer.Objects)
    Objects.push_back(toJson(Object));
  return {{"revision", Answer.Revision}, {"objects", std::move(Objects)}};
}

} // namespace

StoreAnswer decodeAnswer(const StoreCall &Call, const HttpAnswer &Http) {
  StoreAnswer Answer{.Status = statusOf(Http.Status)};
  if (Answer.Status == StoreStatus::Busy)
    Answer.RetryAfter = retryAfterOf(Http.RetryAfter);
  const Json Body = parseAnswer(Http.Body);
  if (Answer.Status == StoreStatus::Done) {
    if (!readBody(Call, Body, Answer)) {
      // If the answer to a write cannot be parsed, the write may or may not
      // have taken effect.
      Answer = {.Status = isWrite(Call.Kind) ? StoreStatus::Lost
                                             : StoreStatus::Invalid,
                .Detail = "the answer of the platform could not be parsed"};
    }
    return Answer;
  }
  if (Answer.Status == StoreStatus::Absent && Body.is_object())
    readBody(Call, Body, Answer); // Keeps the tombstone if the answer has one.
  if (Body.is_object())
    Answer.Detail = textOf(Body, "error");
  return Answer;
}

HttpAnswer encodeAnswer(const StoreCall &Call, const StoreAnswer &Answer) {
  HttpAnswer Http{.Status = httpOf(Answer.Status)};
  const bool HasBody = Answer.Status == StoreStatus::Done ||
                       Answer.Status == StoreStatus::Absent;
  const Json Body = HasBody
                        ? bodyOf(Call, Answer)
                        : Json{{"error", Answer.Detail.empty()
                                             ? std::string(name(Answer.Status))
                                             : Answer.Detail}};
  Http.Body = Body.dump();
  if (Answer.Status == StoreStatus::Busy)
    Http.RetryAfter = std::to_string(
        std::chrono::ceil<std::chrono::seconds>(Answer.RetryAfter).count());
  return Http;
}

} // namespace dragonflystall
