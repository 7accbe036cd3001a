// A small stand-in for the platform's object API: the store in memory, watches
// as long polls, and faults that can be switched on.
//
//   standin-platform --listen 127.1.0.1:9000 [--connections 512]
#include "objectstore/memorystore.h"
#include "objectstore/storejson.h"

#include <atomic>
#include <boost/program_options.hpp>
#include <condition_variable>
#include <csignal>
#include <fmt/format.h>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

using namespace dragonflystall;
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds KeepAlive{60};
constexpr std::chrono::milliseconds MaxWatch{60'000};
/// How long a silent connection holds its thread.
constexpr std::chrono::minutes SilentHold{5};
constexpr Duration RetryAfter = 1s;
constexpr size_t MaxValueBytes = 1 << 20;

/// The connection that the current thread serves.
thread_local uint64_t CurrentConnection = 0;

/// Numbers the connections, so that a fault can tell old ones from new ones.
class ConnectionQueue : public httplib::TaskQueue {
public:
  ConnectionQueue(size_t Threads, std::atomic<uint64_t> &Count)
      : Pool_(Threads), Count_(Count) {}
  void enqueue(std::function<void()> Serve) override {
    const uint64_t Number = ++Count_;
    Pool_.enqueue([Number, Serve = std::move(Serve)] {
      CurrentConnection = Number;
      Serve();
    });
  }
  void shutdown() override { Pool_.shutdown(); }

private:
  httplib::ThreadPool Pool_;
  std::atomic<uint64_t> &Count_;
};

struct Faults {
  SteadyClock::time_point DownUntil{};
  SteadyClock::time_point StaleUntil{};
  std::chrono::milliseconds Slow{0};
  uint64_t LoseAnswers = 0;
  uint64_t Reject = 0;
  uint64_t SilentUpTo = 0; ///< Connections up to this number are silent.
};

struct Statistics {
  std::array<uint64_t, StoreCallKindNames.size()> Calls{};
  uint64_t Rejected = 0;
  uint64_t Lost = 0;
  uint64_t Unavailable = 0;
  uint64_t Conflicts = 0;
  uint64_t BytesIn = 0;
  uint64_t BytesOut = 0;
};

class Platform {
public:
  /// Answers, or returns std::nullopt when the answer is to be lost.
  std::optional<HttpAnswer> call(const StoreCall &Call);
  void setFaults(const Json &Wanted, uint64_t Connections);
  std::string statistics() const;

private:
  using Lock = std::unique_lock<std::mutex>;

  bool silent() const { return CurrentConnection <= Faults_.SilentUpTo; }
  bool down() const { return SteadyClock::now() < Faults_.DownUntil; }
  bool stale() const { return SteadyClock::now() < Faults_.StaleUntil; }
  void hold(Lock &Held, SteadyClock::duration Time);
  StoreAnswer answer(const StoreCall &Call, Lock &Held);
  StoreAnswer watch(const StoreCall &Call, Lock &Held);
  bool take(uint64_t &Counter);

  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  MemoryStore Store_;
  Faults Faults_;
  Statistics Statistics_;
  uint64_t Waiting_ = 0;
};

/// Waits without holding up the other calls.
void Platform::hold(Lock &Held, SteadyClock::duration Time) {
  Changed_.wait_for(Held, Time, [] { return false; });
}

bool Platform::take(uint64_t &Counter) {
  if (Counter == 0)
    return false;
  --Counter;
  return true;
}

std::optional<HttpAnswer> Platform::call(const StoreCall &Call) {
  Lock Held(Mutex_);
  ++Statistics_.Calls[static_cast<size_t>(Call.Kind)];
  Statistics_.BytesIn += Call.Value.size();
  if (Faults_.Slow.count() > 0)
    hold(Held, Faults_.Slow);
  if (silent()) {
    hold(Held, SilentHold);
    return std::nullopt;
  }
  const StoreAnswer Answer = answer(Call, Held);
  if (silent()) {
    hold(Held, SilentHold);
    return std::nullopt;
  }
  if (isWrite(Call.Kind) && take(Faults_.LoseAnswers)) {
    ++Statistics_.Lost;
    return std::nullopt;
  }
  HttpAnswer Http = encodeAnswer(Call, Answer);
  Statistics_.BytesOut += Http.Body.size();
  return Http;
}

StoreAnswer Platform::answer(const StoreCall &Call, Lock &Held) {
  if (down()) {
    ++Statistics_.Unavailable;
    return {.Status = StoreStatus::Lost, .Detail = "the platform is down"};
  }
  if (take(Faults_.Reject)) {
    ++Statistics_.Rejected;
    return {.Status = StoreStatus::Busy, .RetryAfter = RetryAfter};
  }
  if (Call.Kind == StoreCallKind::Watch)
    return watch(Call, Held);
  StoreAnswer Answer = Store_.call(Call);
  if (Answer.Status == StoreStatus::Conflict)
    ++Statistics_.Conflicts;
  if (isWrite(Call.Kind))
    Changed_.notify_all();
  return Answer;
}

StoreAnswer Platform::watch(const StoreCall &Call, Lock &Held) {
  const auto End = SteadyClock::now() + std::min<Duration>(Call.Wait, MaxWatch);
  ++Waiting_;
  StoreAnswer Answer;
  Changed_.wait_until(Held, End, [&] {
    if (silent() || down())
      return true;
    if (stale())
      return false;
    Answer = Store_.call(Call);
    return !Answer.Objects.empty();
  });
  --Waiting_;
  if (down())
    return {.Status = StoreStatus::Lost, .Detail = "the platform is down"};
  if (Answer.Status != StoreStatus::Done)
    Answer = {.Status = StoreStatus::Done, .Revision = Call.Version};
  return Answer;
}

void Platform::setFaults(const Json &Wanted, uint64_t Connections) {
  const Lock Held(Mutex_);
  const auto Now = SteadyClock::now();
  const auto Milliseconds = [&](const char *Name) {
    return std::chrono::milliseconds(Wanted.value(Name, int64_t{0}));
  };
  if (Wanted.contains("down_ms"))
    Faults_.DownUntil = Now + Milliseconds("down_ms");
  if (Wanted.contains("stale_watch_ms"))
    Faults_.StaleUntil = Now + Milliseconds("stale_watch_ms");
  if (Wanted.contains("slow_ms"))
    Faults_.Slow = Milliseconds("slow_ms");
  Faults_.LoseAnswers = Wanted.value("lose_answers", Faults_.LoseAnswers);
  Faults_.Reject = Wanted.value("reject", Faults_.Reject);
  if (Wanted.value("silent", false))
    Faults_.SilentUpTo = Connections;
  Changed_.notify_all();
}

std::string Platform::statistics() const {
  const Lock Held(Mutex_);
  Json Out = {{"revision", Store_.revision()},
              {"waiting", Waiting_},
              {"rejected", Statistics_.Rejected},
              {"lost", Statistics_.Lost},
              {"unavailable", Statistics_.Unavailable},
              {"conflicts", Statistics_.Conflicts},
              {"bytes_in", Statistics_.BytesIn},
              {"bytes_out", Statistics_.BytesOut}};
  uint64_t Total = 0;
  for (size_t I = 0; I < StoreCallKindNames.size(); ++I) {
    Out[std::string(StoreCallKindNames[I])] = Statistics_.Calls[I];
    Total += Statistics_.Calls[I];
  }
  Out["calls"] = Total;
  return Out.dump();
}

uint64_t numberOf(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 10);
}

/// The version that If-Match names; 0 for If-None-Match.
uint64_t expectedVersion(const httplib::Request &Request) {
  std::string Text = Request.get_header_value("If-Match");
  if (Text.size() > 2 && Text.front() == '"')
    Text = Text.substr(1);
  return numberOf(Text);
}

StoreCall writeCall(StoreCallKind Kind, const httplib::Request &Request) {
  return {.Kind = Kind,
          .Key = Request.matches[1],
          .Version = expectedVersion(Request),
          .Value = Request.body,
          .Writer = Request.get_header_value("X-Writer"),
          .Team = Request.get_header_value("X-Team")};
}

void reply(const std::optional<HttpAnswer> &Answer,
           httplib::Response &Response) {
  if (!Answer) {
    // Breaks the connection off within the body.
    Response.set_content_provider(
        1, "application/json",
        [](size_t, size_t, httplib::DataSink &) { return false; });
    return;
  }
  Response.status = Answer->Status;
  if (!Answer->RetryAfter.empty())
    Response.set_header("Retry-After", Answer->RetryAfter);
  Response.set_content(Answer->Body, "application/json");
}

void replyBad(httplib::Response &Response, const std::string &Why) {
  reply(HttpAnswer{400, Json{{"error", Why}}.dump()}, Response);
}

void serveWrites(httplib::Server &Server, Platform &Served) {
  const auto Handle = [&Served](StoreCallKind Kind,
                                const httplib::Request &Request,
                                httplib::Response &Response) {
    if (!Request.has_header("If-Match") && !Request.has_header("If-None-Match"))
      return replyBad(Response, "If-Match or If-None-Match is required");
    if (Kind == StoreCallKind::Put && !Json::accept(Request.body))
      return replyBad(Response, "the value is not JSON");
    reply(Served.call(writeCall(Kind, Request)), Response);
  };
  Server.Put("/v1/objects/(.+)", [Handle](const auto &Request, auto &Response) {
    Handle(StoreCallKind::Put, Request, Response);
  });
  Server.Delete("/v1/objects/(.+)",
                [Handle](const auto &Request, auto &Response) {
                  Handle(StoreCallKind::Delete, Request, Response);
                });
}

void serveReads(httplib::Server &Server, Platform &Served) {
  Server.Get("/v1/objects/(.+)", [&Served](const auto &Request,
                                           auto &Response) {
    reply(Served.call({.Kind = StoreCallKind::Get, .Key = Request.matches[1]}),
          Response);
  });
  Server.Get("/v1/objects", [&Served](const auto &Request, auto &Response) {
    reply(Served.call({.Kind = StoreCallKind::List,
                       .Key = Request.get_param_value("prefix")}),
          Response);
  });
  Server.Get("/v1/watch", [&Served](const auto &Request, auto &Response) {
    const auto Wait = std::chrono::milliseconds(
        numberOf(Request.get_param_value("timeout_ms")));
    reply(Served.call({.Kind = StoreCallKind::Watch,
                       .Key = Request.get_param_value("prefix"),
                       .Version = numberOf(Request.get_param_value("since")),
                       .Wait = Wait}),
          Response);
  });
}

void serveSwitches(httplib::Server &Server, Platform &Served,
                   const std::atomic<uint64_t> &Connections) {
  Server.Post("/faults", [&](const auto &Request, auto &Response) {
    const Json Wanted = Json::parse(Request.body, nullptr, false);
    if (!Wanted.is_object())
      return replyBad(Response, "an object of faults is required");
    Served.setFaults(Wanted, Connections);
    Response.set_content("{}", "application/json");
  });
  Server.Get("/stats", [&](const auto &, auto &Response) {
    Response.set_content(Served.statistics(), "application/json");
  });
}

int run(Endpoint Listen, size_t Threads) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  Platform Served;
  std::atomic<uint64_t> Connections{0};
  httplib::Server Server;
  Server.new_task_queue = [&] {
    return new ConnectionQueue(Threads, Connections);
  };
  int Listener = -1;
  Server.set_socket_options([&Listener](int Socket) {
    const int On = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    Listener = Socket;
  });
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(SIZE_MAX);
  Server.set_keep_alive_timeout(KeepAlive.count());
  Server.set_payload_max_length(MaxValueBytes);
  serveWrites(Server, Served);
  serveReads(Server, Served);
  serveSwitches(Server, Served, Connections);

  const std::string Address = toString(Listen);
  if (!Server.bind_to_port(ipText(Listen.Ip), Listen.Port)) {
    fmt::print(stderr, "cannot listen on {}\n", Address);
    return 1;
  }
  // The library's backlog of 5 loses connections when many come at once.
  ::listen(Listener, SOMAXCONN);
  std::thread([Signals] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    // Nothing is kept, and idle connections would hold their threads.
    std::_Exit(0);
  }).detach();
  fmt::print(stderr, "listening on {}\n", Address);
  Server.listen_after_bind();
  return 1;
}

} // namespace

int main(int Count, char **Values) {
  namespace po = boost::program_options;
  po::options_description Options("standin-platform");
  std::string Listen;
  size_t Threads = 0;
  Options.add_options()("help", "print this text")(
      "listen", po::value(&Listen)->default_value("127.1.0.1:9000"),
      "address of the object API")("connections",
                                   po::value(&Threads)->default_value(512),
                                   "connections that are served at once");
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(Count, Values, Options), Given);
    po::notify(Given);
  } catch (const po::error &E) {
    fmt::print(stderr, "{}\n", E.what());
    return 2;
  }
  if (Given.count("help")) {
    std::ostringstream Text;
    Text << Options;
    fmt::print("{}", Text.str());
    return 0;
  }
  const auto Address = parseEndpoint(Listen);
  if (!Address) {
    fmt::print(stderr, "--listen: an address such as 127.1.0.1:9000\n");
    return 2;
  }
  return run(*Address, Threads);
}
