// Object store client, implemented with cpp-httplib.
#include "objectstore/client.h"

#include "objectstore/storejson.h"

#include <fmt/format.h>
#include <httplib.h>

namespace dragonflystall {

namespace {

constexpr const char *JsonType = "application/json";

int64_t milliseconds(Duration D) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(D).count();
}

std::string encode(std::string_view Text) {
  return httplib::detail::encode_query_param(std::string(Text));
}

std::string pathOf(const StoreCall &Call) {
  switch (Call.Kind) {
  case StoreCallKind::List:
    return fmt::format("/v1/objects?prefix={}", encode(Call.Key));
  case StoreCallKind::Watch:
    return fmt::format("/v1/watch?prefix={}&since={}&timeout_ms={}",
                       encode(Call.Key), Call.Version, milliseconds(Call.Wait));
  default:
    return fmt::format("/v1/objects/{}", Call.Key);
  }
}

httplib::Headers headersOf(const StoreCall &Call) {
  httplib::Headers Headers;
  if (!Call.Team.empty())
    Headers.emplace("X-Team", Call.Team);
  if (!isWrite(Call.Kind))
    return Headers;
  Headers.emplace("X-Writer", Call.Writer);
  if (Call.Version == 0)
    Headers.emplace("If-None-Match", "*");
  else
    Headers.emplace("If-Match", fmt::format("\"{}\"", Call.Version));
  return Headers;
}

httplib::Result send(httplib::Client &Client, const StoreCall &Call) {
  const std::string Path = pathOf(Call);
  const httplib::Headers Headers = headersOf(Call);
  if (Call.Kind == StoreCallKind::Put)
    return Client.Put(Path, Headers, Call.Value, JsonType);
  if (Call.Kind == StoreCallKind::Delete)
    return Client.Delete(Path, Headers);
  return Client.Get(Path, Headers);
}

/// NotSent only if no connection was made: after any other error the platform
/// may have executed the call.
StoreStatus statusOf(httplib::Error Error) {
  const bool NotSent = Error == httplib::Error::Connection ||
                       Error == httplib::Error::ConnectionTimeout ||
                       Error == httplib::Error::BindIPAddress;
  return NotSent ? StoreStatus::NotSent : StoreStatus::Lost;
}

} // namespace

struct HttpStore::State {
  explicit State(const std::string &Url) : Client(Url) {}
  httplib::Client Client;
};

HttpStore::HttpStore(Endpoint Platform)
    : State_(std::make_unique<State>("http://" + toString(Platform))) {
  httplib::Client &Client = State_->Client;
  Client.set_keep_alive(true);
  Client.set_tcp_nodelay(true);
  Client.set_connection_timeout(HttpTimeout);
  Client.set_write_timeout(HttpTimeout);
}

HttpStore::~HttpStore() = default;

StoreAnswer HttpStore::call(const StoreCall &Call) {
  State_->Client.set_read_timeout(Call.Wait + HttpTimeout);
  // The answer to a write names no key: a second copy of the answer to an
  // earlier write would pass for it. Writes are rare.
  if (isWrite(Call.Kind))
    State_->Client.stop();
  const httplib::Result Result = send(State_->Client, Call);
  if (!Result)
    return {.Status = statusOf(Result.error()),
            .Detail = httplib::to_string(Result.error())};
  return decodeAnswer(Call, {Result->status, Result->body,
                             Result->get_header_value("Retry-After")});
}

void HttpStore::stop() { State_->Client.stop(); }

} // namespace dragonflystall
