// HTTP/1.1 client and server on one event loop, over libevent. The process must
// ignore SIGPIPE, because the peer may close the connection during a write.
#ifndef DRAGONFLYSTALL_SRC_SHELL_HTTP_H
#define DRAGONFLYSTALL_SRC_SHELL_HTTP_H

#include "dragonflystall/types.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

struct event_base;
struct evhttp_request;

namespace dragonflystall {

enum class HttpMethod : uint8_t { Get, Post, Put, Delete };
constexpr std::array<std::string_view, 4> HttpMethodNames = {"GET", "POST",
                                                             "PUT", "DELETE"};
constexpr std::string_view name(HttpMethod M) {
  return HttpMethodNames[static_cast<size_t>(M)];
}

/// The status codes that are sent or treated specially.
struct HttpStatus {
  static constexpr int Ok = 200;
  static constexpr int Created = 201;
  static constexpr int BadRequest = 400;
  static constexpr int NotFound = 404;
  static constexpr int Conflict = 409;
  static constexpr int Gone = 410;
  static constexpr int Unavailable = 503;
};

struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  std::string Target; ///< Path and query.
  std::string Body;   ///< JSON, or empty.
};

constexpr std::string_view JsonContent = "application/json";

struct HttpHeader {
  std::string Name;
  std::string Value;
};

struct HttpResponse {
  int Status = 0;
  std::string Body;
  std::string ContentType;
  std::vector<HttpHeader> Headers = {}; ///< Besides the content type.
  /// Of a response that was received: no other one came before it on its
  /// connection, so that it can't be a second copy of an earlier one.
  bool IsFirstOnConnection = false;

  bool succeeded() const { return Status / 100 == 2; }
  /// The value of a header, whose name may be in any case; empty if there is
  /// none.
  std::string header(std::string_view Name) const;
};

inline HttpResponse jsonResponse(int Status, std::string Body) {
  return {Status, std::move(Body), std::string(JsonContent)};
}
/// An empty JSON object.
inline HttpResponse emptyJsonResponse(int Status) {
  return jsonResponse(Status, "{}");
}

/// No response was received; the request may or may not have been executed.
struct HttpFailure {
  std::string Text;
  /// The response was longer than MaxResponseBytes; it will be again.
  bool IsTooLong = false;
};

/// Limit on the body of a response: a peer's state with 130,000 agents has some
/// 20 MB, a page of the store about 1 MB.
constexpr size_t MaxResponseBytes = 32 << 20;

/// One connection to one server, with one request at a time. The next request
/// replaces a connection that failed, or on which the server has sent more than
/// the answers, such as a second copy of one. A copy that arrives only after
/// the next request can't be told from its answer here: users compare what the
/// answer says with what they asked for, or replace the connection.
class HttpChannel {
public:
  using Done = std::function<void(tl::expected<HttpResponse, HttpFailure>)>;

  HttpChannel(event_base *Base, Endpoint Server);
  ~HttpChannel();
  HttpChannel(const HttpChannel &) = delete;
  HttpChannel &operator=(const HttpChannel &) = delete;

  bool busy() const;
  /// Calls OnDone from the event loop, never before request() returns.
  void request(const HttpRequest &Request, Duration Timeout, Done OnDone);
  /// The next request uses a new connection. May be called while an answer is
  /// handled.
  void replaceConnection();
  /// Drops the connection and the request on it; its callback is not called.
  void abandon();
  Endpoint server() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

/// Serves any number of listening addresses with one handler.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;

  HttpServer(event_base *Base, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns whether the address could be bound.
  bool listen(Endpoint Local);

private:
  struct State;
  std::unique_ptr<State> State_;
};

// For libevent servers that answer some requests asynchronously.
HttpRequest decodeRequest(evhttp_request *Request);
void sendResponse(evhttp_request *Request, const HttpResponse &Response);

/// A part of a path or query, with all characters but letters, digits and
/// "-._~" as percent codes; and the reverse.
std::string encodeUri(const std::string &Text);
std::string decodeUri(const std::string &Text);

/// A path without its query.
std::string pathOf(const std::string &Target);

} // namespace dragonflystall

#endif
