// A small stand-in for a back end: HTTP/1.1, a few slots, a cold start, fault
// switches, and a count of what ran. Its answers name the service, itself and
// the request's key, so that a crossed or misdelivered answer shows.
#include "upstream/capacity.h"
#include "upstream/faults.h"
#include "upstream/runs.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <httplib.h>
#include <thread>

using namespace dragonflystall;
using namespace dragonflystall::standin;

namespace {

constexpr size_t Threads = 32;
constexpr Duration CancelCheck = 2ms;
constexpr Duration SilenceLasts = 20s;
constexpr size_t MaxBodyBytes = 8 << 20;

struct Options {
  Endpoint Listen;
  std::string Name;
  std::string Service;
  CapacitySettings Capacity;
  uint64_t Seed = 1;
};

/// The body of every answer: a first line that says what was asked and who
/// answers, then the line again and again up to the bytes asked for.
std::string answerBody(const std::string &FirstLine, size_t Bytes) {
  std::string Body = FirstLine;
  while (Body.size() < Bytes)
    Body += FirstLine;
  if (Bytes > FirstLine.size())
    Body.resize(Bytes);
  return Body;
}

/// The size that the path /bytes/N asks for, else 0.
size_t bytesOf(const std::string &Path) {
  constexpr std::string_view Prefix = "/bytes/";
  if (Path.rfind(Prefix, 0) != 0)
    return 0;
  const std::string Digits = Path.substr(Prefix.size());
  return std::min<size_t>(std::strtoull(Digits.c_str(), nullptr, 10),
                          MaxBodyBytes);
}

class Upstream {
public:
  explicit Upstream(Options Given)
      : Options_(std::move(Given)), Capacity_(Options_.Capacity, Options_.Seed),
        Faults_(Options_.Seed), Start_(std::random_device()()) {}

  int serve();

private:
  void addRoutes();
  void run(const httplib::Request &In, httplib::Response &Out);
  void work(const std::string &Body, const httplib::Request &In,
            httplib::Response &Out);
  bool finishWork(TimePoint End, int Port, const std::string &Body,
                  httplib::DataSink &Sink);
  std::string firstLine(const httplib::Request &In) const;
  void report(httplib::Response &Out) const;

  Options Options_;
  Capacity Capacity_;
  Faults Faults_;
  Runs Runs_;
  const uint32_t Start_; ///< Tells this start from those before.
  httplib::Server Server_;
};

std::string keyOf(const httplib::Request &In) {
  return In.method == "POST" ? In.body : In.get_param_value("key");
}

std::string Upstream::firstLine(const httplib::Request &In) const {
  const nlohmann::json Line = {
      {"service", Options_.Service},
      {"upstream", Options_.Name},
      {"start", Start_},
      {"key", keyOf(In)},
      {"caller", In.get_header_value("X-Caller")},
  };
  return Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

void Upstream::run(const httplib::Request &In, httplib::Response &Out) {
  constexpr int Unavailable = 503;
  if (Faults_.silent(In.remote_port)) {
    std::this_thread::sleep_for(SilenceLasts);
    Out.set_header("Connection", "close");
    return;
  }
  if (Faults_.shedNext()) {
    Runs_.shed();
    Out.status = Unavailable;
    Out.set_header("Retry-After", "1");
    return;
  }
  if (In.method == "POST")
    Runs_.startPost(keyOf(In));
  else
    Runs_.startGet();
  work(answerBody(firstLine(In), bytesOf(In.path)), In, Out);
}

/// The work is done while the answer is being sent, because only there the
/// library tells whether the connection still stands.
void Upstream::work(const std::string &Body, const httplib::Request &In,
                    httplib::Response &Out) {
  const Duration Work = Capacity_.begin(Faults_.slow());
  const TimePoint End = SystemClock().now() + Work;
  const int Port = In.remote_port;
  Out.set_content_provider(
      Body.size(), "text/plain",
      [this, End, Port, Body](size_t, size_t, httplib::DataSink &Sink) {
        return finishWork(End, Port, Body, Sink);
      },
      [this](bool Completed) {
        Capacity_.end(Completed);
        if (!Completed)
          Runs_.cancelled();
        else
          Runs_.completed();
      });
}

bool Upstream::finishWork(TimePoint End, int Port, const std::string &Body,
                          httplib::DataSink &Sink) {
  const TimePoint GiveUp = End + SilenceLasts;
  while (SystemClock().now() < End || Faults_.silent(Port)) {
    if (!Sink.is_writable() || SystemClock().now() > GiveUp)
      return false;
    std::this_thread::sleep_for(
        std::min<Duration>(CancelCheck, Options_.Capacity.ServiceTime));
  }
  return Sink.write(Body.data(), Body.size());
}

void Upstream::report(httplib::Response &Out) const {
  const CapacityReport Now = Capacity_.report();
  nlohmann::json Report = Runs_.toJson();
  Report["upstream"] = Options_.Name;
  Report["service"] = Options_.Service;
  Report["running"] = Now.Running;
  Report["bears"] = Now.Bears;
  Report["peak"] = Now.Peak;
  Report["cold_overloads"] = Now.ColdOverloads;
  Report["hot_overloads"] = Now.HotOverloads;
  Out.set_content(
      Report.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      "application/json");
}

void Upstream::addRoutes() {
  using httplib::Request;
  using httplib::Response;
  constexpr int BadRequest = 400;
  Server_.Get("/health", [this](const Request &, Response &Out) {
    const nlohmann::json Health = {{"healthy", true},
                                   {"draining", Faults_.draining()}};
    Out.set_content(Health.dump(), "application/json");
  });
  Server_.Get("/load", [this](const Request &, Response &Out) {
    const CapacityReport Now = Capacity_.report();
    const uint32_t Percent = 100 * Now.Running / Now.Bears;
    const nlohmann::json Load = {
        {"percent", Faults_.lyingLoad().value_or(Percent)}};
    Out.set_content(Load.dump(), "application/json");
  });
  Server_.Get("/runs", [this](const Request &, Response &Out) { report(Out); });
  Server_.Post("/faults", [this](const Request &In, Response &Out) {
    const auto Switches = nlohmann::json::parse(In.body, nullptr, false);
    if (!Switches.is_object()) {
      Out.status = BadRequest;
      return;
    }
    if (Switches.value("cold", false))
      Capacity_.chill();
    Faults_.apply(Switches);
    Out.set_content("{}", "application/json");
  });
  const auto Run = [this](const Request &In, Response &Out) { run(In, Out); };
  Server_.Get(".*", Run);
  Server_.Post(".*", Run);
}

void reuseAddressOnly(socket_t Socket) {
  const int Yes = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
}

int Upstream::serve() {
  Server_.new_task_queue = [] { return new httplib::ThreadPool(Threads); };
  Server_.set_socket_options(reuseAddressOnly);
  Server_.set_tcp_nodelay(true);
  Server_.set_keep_alive_max_count(SIZE_MAX);
  Server_.set_keep_alive_timeout(60);
  Server_.set_pre_routing_handler([this](const httplib::Request &In, auto &) {
    Faults_.sawConnection(In.remote_port);
    return httplib::Server::HandlerResponse::Unhandled;
  });
  addRoutes();
  const Endpoint Listen = Options_.Listen;
  if (!Server_.bind_to_port(ipText(Listen.Ip), Listen.Port)) {
    fmt::print(stderr, "cannot bind {}\n", toString(Listen));
    return 1;
  }
  return Server_.listen_after_bind() ? 0 : 1;
}

std::optional<Options> parseOptions(int Count, char **Values) {
  namespace po = boost::program_options;
  po::options_description Known("standin-upstream");
  Known.add_options()("help", "this text")(
      "listen", po::value<std::string>()->required(),
      "IP:PORT")("name", po::value<std::string>()->default_value("upstream"),
                 "in answers")(
      "service", po::value<std::string>()->default_value("service"),
      "in answers")("slots", po::value<uint32_t>()->default_value(4),
                    "requests at once")(
      "service-ms", po::value<double>()->default_value(5),
      "mean work")("cold-seconds", po::value<double>()->default_value(0),
                   "how long warming takes under full use; 0: starts warm")(
      "seed", po::value<uint64_t>()->default_value(1), "of work times");
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(Count, Values, Known), Given);
    po::notify(Given);
  } catch (const po::error &E) {
    fmt::print(stderr, "{}\n", E.what());
    return std::nullopt;
  }
  using std::chrono::duration;
  using std::chrono::duration_cast;
  const auto Listen = parseEndpoint(Given["listen"].as<std::string>());
  if (!Listen)
    return std::nullopt;
  Options Result;
  Result.Listen = *Listen;
  Result.Name = Given["name"].as<std::string>();
  Result.Service = Given["service"].as<std::string>();
  Result.Capacity.Slots = Given["slots"].as<uint32_t>();
  Result.Capacity.ServiceTime = duration_cast<Duration>(
      duration<double, std::milli>(Given["service-ms"].as<double>()));
  Result.Capacity.ColdTime = duration_cast<Duration>(
      duration<double>(Given["cold-seconds"].as<double>()));
  Result.Seed = Given["seed"].as<uint64_t>();
  return Result;
}

} // namespace

int main(int Count, char **Values) {
  constexpr int BadUsage = 2;
  auto Given = parseOptions(Count, Values);
  if (!Given)
    return BadUsage;
  return Upstream(std::move(*Given)).serve();
}
