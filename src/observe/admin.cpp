// The HTTP server of the administration API.
#include "observe/admin.h"

#include <charconv>
#include <fmt/format.h>
#include <httplib.h>
#include <thread>

namespace dragonflystall {

namespace {

constexpr size_t Threads = 2;
constexpr time_t KeepAliveSeconds = 1;
constexpr time_t ReadTimeoutSeconds = 2;
constexpr const char *Json = "application/json";
constexpr const char *JsonLines = "application/jsonlines";
constexpr const char *PrometheusText = "text/plain; version=0.0.4";

/// The request's "since" parameter. A missing or non-numeric value is 0, which
/// selects all events of the ring.
uint64_t sinceOf(const httplib::Request &Request) {
  const std::string Text = Request.get_param_value("since");
  uint64_t Since = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Since);
  return Since;
}

/// Sets SO_REUSEADDR only. The library's default options let a second process
/// bind the same port without an error.
void reuseAddressOnly(socket_t Socket) {
  const int Yes = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
}

void answerReady(bool Ready, httplib::Response &Response) {
  constexpr int NotReady = 503;
  if (!Ready)
    Response.status = NotReady;
  Response.set_content(Ready ? R"({"ready":true})" : R"({"ready":false})",
                       Json);
}

} // namespace

struct AdminServer::State {
  AdminHandlers Handlers;
  httplib::Server Server;
  std::thread Listener;

  void addRoutes();
};

void AdminServer::State::addRoutes() {
  using httplib::Request;
  using httplib::Response;
  Server.Get("/healthz", [](const Request &, Response &Out) {
    Out.set_content(R"({"healthy":true})", Json);
  });
  Server.Get("/readyz", [this](const Request &, Response &Out) {
    answerReady(Handlers.Ready(), Out);
  });
  Server.Get("/status", [this](const Request &, Response &Out) {
    Out.set_content(Handlers.StatusJson(), Json);
  });
  Server.Get("/metrics", [this](const Request &, Response &Out) {
    Out.set_content(Handlers.MetricsText(), PrometheusText);
  });
  Server.Get("/timeline", [this](const Request &In, Response &Out) {
    Out.set_content(Handlers.TimelineJson(sinceOf(In)), JsonLines);
  });
}

AdminServer::AdminServer() : State_(std::make_unique<State>()) {}

tl::expected<std::unique_ptr<AdminServer>, std::string>
AdminServer::start(Endpoint Local, AdminHandlers Handlers) {
  std::unique_ptr<AdminServer> Admin(new AdminServer);
  State &S = *Admin->State_;
  S.Handlers = std::move(Handlers);
  S.Server.new_task_queue = [] { return new httplib::ThreadPool(Threads); };
  S.Server.set_socket_options(reuseAddressOnly);
  S.Server.set_keep_alive_timeout(KeepAliveSeconds);
  S.Server.set_read_timeout(ReadTimeoutSeconds);
  S.addRoutes();
  if (!S.Server.bind_to_port(ipText(Local.Ip), Local.Port))
    return tl::unexpected(fmt::format(
        "cannot bind the administration API to {}", toString(Local)));
  S.Listener = std::thread([&S] { S.Server.listen_after_bind(); });
  // stop() has no effect before the listener runs.
  while (!S.Server.is_running())
    std::this_thread::yield();
  return Admin;
}

AdminServer::~AdminServer() {
  State_->Server.stop();
  if (State_->Listener.joinable())
    State_->Listener.join();
}

} // namespace dragonflystall
