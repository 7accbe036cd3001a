// HTTP over libevent.
#include "shell/http.h"

#include <algorithm>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

namespace dragonflystall {

namespace {

/// An unresponsive network path is detected after about 3 s.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr unsigned UserTimeoutMilliseconds = 2500;
constexpr int ServerIdleSeconds = 60;
/// Requests to these servers usually have a few hundred bytes.
constexpr ssize_t MaxMessageBytes = 64 << 10;

std::string bodyOf(evbuffer *Buffer) {
  std::string Body(evbuffer_get_length(Buffer), '\0');
  evbuffer_copyout(Buffer, Body.data(), Body.size());
  return Body;
}

std::vector<HttpHeader> headersOf(evhttp_request *Request) {
  std::vector<HttpHeader> Headers;
  const evkeyvalq *Received = evhttp_request_get_input_headers(Request);
  for (const evkeyval *H = Received->tqh_first; H; H = H->next.tqe_next)
    Headers.push_back({H->key, H->value});
  return Headers;
}

void enableDeadPeerDetection(int Socket) {
  const auto Set = [Socket](int Level, int Option, auto Value) {
    ::setsockopt(Socket, Level, Option, &Value, sizeof(Value));
  };
  Set(SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  Set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  Set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  Set(IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMilliseconds);
}

evhttp_cmd_type commandOf(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Get:
    return EVHTTP_REQ_GET;
  case HttpMethod::Post:
    return EVHTTP_REQ_POST;
  case HttpMethod::Put:
    return EVHTTP_REQ_PUT;
  case HttpMethod::Delete:
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

timeval toTimeval(Duration Time) {
  const auto Microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(Time).count();
  return {Microseconds / 1000000, Microseconds % 1000000};
}

} // namespace

std::string HttpResponse::header(std::string_view Name) const {
  const auto It =
      std::find_if(Headers.begin(), Headers.end(), [&](const HttpHeader &H) {
        return H.Name.size() == Name.size() &&
               ::strncasecmp(H.Name.data(), Name.data(), Name.size()) == 0;
      });
  return It == Headers.end() ? std::string() : It->Value;
}

std::string encodeUri(const std::string &Text) {
  const std::unique_ptr<char, decltype(&std::free)> Encoded(
      evhttp_uriencode(Text.data(), static_cast<ev_ssize_t>(Text.size()),
                       /*space_to_plus=*/0),
      &std::free);
  return Encoded.get();
}

std::string decodeUri(const std::string &Text) {
  size_t Size = 0;
  const std::unique_ptr<char, decltype(&std::free)> Decoded(
      evhttp_uridecode(Text.c_str(), /*decode_plus=*/0, &Size), &std::free);
  return {Decoded.get(), Size};
}

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

struct HttpChannel::State {
  event_base *Base = nullptr;
  Endpoint Server;
  evhttp_connection *Connection = nullptr;
  bool Broken = false;
  bool HasAnswered = false; ///< On the present connection.
  Done OnDone;              ///< Set while a request is in progress.
  bool IsTooLong = false;   ///< The response to it is.

  void open();
  void close();
  /// Whether the server has sent more than the answers to our requests.
  bool hasSurplus() const;
  static void onDone(evhttp_request *Request, void *Self);
  static void onError(evhttp_request_error Cause, void *Self);
};

void HttpChannel::State::open() {
  if (Connection && !Broken && !hasSurplus())
    return;
  close();
  Connection = evhttp_connection_base_new(
      Base, nullptr, ipText(Server.Ip).c_str(), Server.Port);
  evhttp_connection_set_max_body_size(Connection, MaxResponseBytes);
  Broken = false;
  HasAnswered = false;
}

bool HttpChannel::State::hasSurplus() const {
  bufferevent *Buffer = evhttp_connection_get_bufferevent(Connection);
  return evbuffer_get_length(bufferevent_get_input(Buffer)) > 0;
}

void HttpChannel::State::close() {
  if (Connection)
    evhttp_connection_free(Connection);
  Connection = nullptr;
}

void HttpChannel::State::onDone(evhttp_request *Request, void *Self) {
  auto &S = *static_cast<State *>(Self);
  if (!S.OnDone)
    return;
  const Done OnDone = std::exchange(S.OnDone, nullptr);
  const int Status = Request ? evhttp_request_get_response_code(Request) : 0;
  if (Status == 0) {
    S.Broken = true;
    const char *Cause = S.IsTooLong ? "response too long"
                        : Request   ? "no response"
                                    : "timed out";
    OnDone(tl::unexpected(HttpFailure{Cause, S.IsTooLong}));
    return;
  }
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = bodyOf(evhttp_request_get_input_buffer(Request));
  Response.Headers = headersOf(Request);
  Response.IsFirstOnConnection = !std::exchange(S.HasAnswered, true);
  OnDone(std::move(Response));
}

void HttpChannel::State::onError(evhttp_request_error Cause, void *Self) {
  static_cast<State *>(Self)->IsTooLong = Cause == EVREQ_HTTP_DATA_TOO_LONG;
}

HttpChannel::HttpChannel(event_base *Base, Endpoint Server)
    : State_(std::make_unique<State>()) {
  State_->Base = Base;
  State_->Server = Server;
}

HttpChannel::~HttpChannel() { abandon(); }

bool HttpChannel::busy() const { return State_->OnDone != nullptr; }

Endpoint HttpChannel::server() const { return State_->Server; }

void HttpChannel::replaceConnection() { State_->Broken = true; }

void HttpChannel::abandon() {
  State_->OnDone = nullptr;
  State_->close();
}

void HttpChannel::request(const HttpRequest &Request, Duration Timeout,
                          Done OnDone) {
  State_->open();
  State_->OnDone = std::move(OnDone);
  State_->IsTooLong = false;
  const timeval Limit = toTimeval(Timeout);
  evhttp_connection_set_timeout_tv(State_->Connection, &Limit);
  evhttp_request *R = evhttp_request_new(&State::onDone, State_.get());
  evhttp_request_set_error_cb(R, &State::onError);
  evkeyvalq *Headers = evhttp_request_get_output_headers(R);
  evhttp_add_header(Headers, "Host", toString(State_->Server).c_str());
  if (!Request.Body.empty()) {
    evhttp_add_header(Headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(R), Request.Body.data(),
                 Request.Body.size());
  }
  evhttp_make_request(State_->Connection, R, commandOf(Request.Method),
                      Request.Target.c_str());
  bufferevent *Buffer = evhttp_connection_get_bufferevent(State_->Connection);
  if (const int Socket = bufferevent_getfd(Buffer); Socket >= 0)
    enableDeadPeerDetection(Socket);
}

struct HttpServer::State {
  evhttp *Http = nullptr;
  Handler OnRequest;

  static void onRequest(evhttp_request *Request, void *Self);
};

HttpRequest decodeRequest(evhttp_request *Request) {
  HttpRequest Decoded;
  switch (evhttp_request_get_command(Request)) {
  case EVHTTP_REQ_POST:
    Decoded.Method = HttpMethod::Post;
    break;
  case EVHTTP_REQ_PUT:
    Decoded.Method = HttpMethod::Put;
    break;
  case EVHTTP_REQ_DELETE:
    Decoded.Method = HttpMethod::Delete;
    break;
  default:
    break;
  }
  Decoded.Target = evhttp_request_get_uri(Request);
  Decoded.Body = bodyOf(evhttp_request_get_input_buffer(Request));
  return Decoded;
}

void sendResponse(evhttp_request *Request, const HttpResponse &Response) {
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Content-Type", Response.ContentType.c_str());
  for (const HttpHeader &H : Response.Headers)
    evhttp_add_header(Headers, H.Name.c_str(), H.Value.c_str());
  evbuffer *Body = evbuffer_new();
  evbuffer_add(Body, Response.Body.data(), Response.Body.size());
  evhttp_send_reply(Request, Response.Status, nullptr, Body);
  evbuffer_free(Body);
}

void HttpServer::State::onRequest(evhttp_request *Request, void *Self) {
  sendResponse(Request,
               static_cast<State *>(Self)->OnRequest(decodeRequest(Request)));
}

HttpServer::HttpServer(event_base *Base, Handler OnRequest)
    : State_(std::make_unique<State>()) {
  State_->Http = evhttp_new(Base);
  State_->OnRequest = std::move(OnRequest);
  evhttp_set_timeout(State_->Http, ServerIdleSeconds);
  evhttp_set_max_body_size(State_->Http, MaxMessageBytes);
  evhttp_set_max_headers_size(State_->Http, MaxMessageBytes);
  evhttp_set_gencb(State_->Http, &State::onRequest, State_.get());
}

HttpServer::~HttpServer() { evhttp_free(State_->Http); }

bool HttpServer::listen(Endpoint Local) {
  return evhttp_bind_socket(State_->Http, ipText(Local.Ip).c_str(),
                            Local.Port) == 0;
}

} // namespace dragonflystall
