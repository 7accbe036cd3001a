// One thread and one persistent connection per slot, and a watchdog that stops
// the socket of a run that is cancelled or past its deadline. The watchdog is
// needed because the HTTP library limits only the time of each system call.
#include "upstreamclient.h"

#include "contentformat.h"
#include "hintpoller.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace dragonflystall {

namespace {

constexpr Duration ConnectTimeout = 500ms;
/// A connection that was idle for longer may be broken; opening a new one costs
/// less than a request that times out on a broken connection.
constexpr Duration MaxIdle = 1s;
/// The interval at which a socket is stopped again, since a stop has no effect
/// while the run is still connecting.
constexpr Duration StopInterval = 10ms;
/// Makes the HTTP library's timeouts end later than the watchdog's.
constexpr Duration TimeoutMargin = 100ms;
/// Larger answers are aborted, since the agent stores answers complete.
constexpr size_t MaxAnswerBytes = 8 << 20;

using SteadyClock = std::chrono::steady_clock;

const char *methodName(Code Method) {
  switch (Method) {
  case Code::Post:
    return "POST";
  case Code::Put:
    return "PUT";
  case Code::Delete:
    return "DELETE";
  default:
    return "GET";
  }
}

std::optional<Duration> retryAfter(const httplib::Response &Answer) {
  const std::string Text = Answer.get_header_value("Retry-After");
  if (Text.empty() || Text.size() > 6 ||
      Text.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return std::chrono::seconds(std::stoul(Text));
}

/// A 503 or 429 shows that the upstream shed the request only if it has a
/// Retry-After header.
bool isShed(int Status, const std::optional<Duration> &RetryAfter) {
  return RetryAfter && (Status == 503 || Status == 429);
}

bool neverSent(httplib::Error Error) {
  return Error == httplib::Error::Connection ||
         Error == httplib::Error::ConnectionTimeout ||
         Error == httplib::Error::BindIPAddress;
}

httplib::Request httpRequest(const RunUpstream &Run, Duration Left) {
  httplib::Request Request;
  Request.method = methodName(Run.Method);
  Request.path = Run.Path.empty() ? "/" : Run.Path;
  if (!Run.Query.empty())
    Request.path += '?' + Run.Query;
  Request.body = Run.Body;
  if (Run.ContentFormat)
    Request.set_header("Content-Type",
                       std::string(mediaTypeOf(*Run.ContentFormat)));
  const auto LeftMs = std::chrono::ceil<std::chrono::milliseconds>(Left);
  Request.set_header("X-Request-Id",
                     std::to_string(static_cast<uint64_t>(Run.Run)));
  Request.set_header("X-Caller", toString(Run.Caller));
  Request.set_header("X-Timeout-Ms", std::to_string(LeftMs.count()));
  return Request;
}

/// Fills in a complete response; its status decides between shed and answered.
void fill(UpstreamAnswer &Answer, const httplib::Response &Response) {
  Answer.HttpStatus = Response.status;
  Answer.RetryAfter = retryAfter(Response);
  Answer.Outcome = isShed(Response.status, Answer.RetryAfter)
                       ? UpstreamOutcome::Shed
                       : UpstreamOutcome::Answered;
  Answer.ContentType = Response.get_header_value("Content-Type");
}

/// The connection of one slot and the run that uses it.
struct Slot {
  std::unique_ptr<httplib::Client> Client;
  TimePoint LastUsed;
  uint64_t Epoch = 0;
  /// Guarded by the state's mutex, as are the next two members.
  RunId Running = RunId::None;
  TimePoint Deadline;
  bool Cancelled = false;
};

struct Waiting {
  RunUpstream Request;
  TimePoint Deadline;
};

} // namespace

struct UpstreamClient::State {
  Endpoint Upstream;
  Listener Owner;
  std::mutex Mutex;
  std::condition_variable Work;
  std::condition_variable Watch;
  /// Invariant: a run is either in Queue or in one slot.
  std::deque<Waiting> Queue;
  std::vector<Slot> Slots;
  bool Stopping = false;
  /// Incremented when a run times out: connections opened before are not
  /// reused.
  std::atomic<uint64_t> Epoch = 1;
  std::vector<std::thread> Threads;
  std::unique_ptr<HintPoller> Hints;

  void serve(size_t Index);
  void watch();
  std::optional<Waiting> take(Slot &Own);
  void release(Slot &Own);
  void connect(Slot &Own);
  UpstreamAnswer execute(Slot &Own, const Waiting &Job);
  bool late(const Slot &Own);
};

UpstreamClient::UpstreamClient(Endpoint Upstream, uint32_t Slots,
                               Listener Owner)
    : State_(std::make_unique<State>()) {
  State_->Upstream = Upstream;
  State_->Owner = std::move(Owner);
  State_->Slots = std::vector<Slot>(std::max(Slots, 1U));
  for (size_t I = 0; I < State_->Slots.size(); ++I)
    State_->Threads.emplace_back([this, I] { State_->serve(I); });
  State_->Threads.emplace_back([this] { State_->watch(); });
  State_->Hints = std::make_unique<HintPoller>(Upstream, State_->Owner.OnHint);
}

UpstreamClient::~UpstreamClient() {
  {
    const std::lock_guard Lock(State_->Mutex);
    State_->Stopping = true;
    for (Slot &Each : State_->Slots)
      Each.Cancelled = true;
  }
  State_->Work.notify_all();
  State_->Watch.notify_all();
  for (std::thread &Each : State_->Threads)
    Each.join();
}

void UpstreamClient::run(const RunUpstream &Request) {
  {
    const std::lock_guard Lock(State_->Mutex);
    State_->Queue.push_back({Request, SteadyClock::now() + Request.Timeout});
  }
  State_->Work.notify_one();
}

void UpstreamClient::cancel(RunId Run) {
  const std::lock_guard Lock(State_->Mutex);
  for (Slot &Each : State_->Slots)
    if (Each.Running == Run)
      Each.Cancelled = true;
  // A queued run is not sent once its deadline has passed.
  for (Waiting &Each : State_->Queue)
    if (Each.Request.Run == Run)
      Each.Deadline = TimePoint();
  State_->Watch.notify_all();
}

void UpstreamClient::State::serve(size_t Index) {
  Slot &Own = Slots[Index];
  while (auto Job = take(Own)) {
    UpstreamAnswer Answer = execute(Own, *Job);
    Answer.Run = Job->Request.Run;
    release(Own);
    Owner.OnAnswer(std::move(Answer));
  }
}

std::optional<Waiting> UpstreamClient::State::take(Slot &Own) {
  std::unique_lock Lock(Mutex);
  Work.wait(Lock, [this] { return Stopping || !Queue.empty(); });
  if (Stopping)
    return std::nullopt;
  Waiting Job = std::move(Queue.front());
  Queue.pop_front();
  Own.Running = Job.Request.Run;
  Own.Deadline = Job.Deadline;
  Own.Cancelled = false;
  Watch.notify_all();
  return Job;
}

void UpstreamClient::State::release(Slot &Own) {
  const std::lock_guard Lock(Mutex);
  Own.Running = RunId::None;
  Own.LastUsed = SteadyClock::now();
}

void UpstreamClient::State::connect(Slot &Own) {
  const bool Fresh = Own.Client && Own.Epoch == Epoch &&
                     SteadyClock::now() - Own.LastUsed < MaxIdle;
  if (Fresh)
    return;
  auto Client =
      std::make_unique<httplib::Client>(ipText(Upstream.Ip), Upstream.Port);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  Client->set_url_encode(false);
  Client->set_connection_timeout(ConnectTimeout);
  const std::lock_guard Lock(Mutex);
  Own.Client = std::move(Client);
  Own.Epoch = Epoch;
}

UpstreamAnswer UpstreamClient::State::execute(Slot &Own, const Waiting &Job) {
  UpstreamAnswer Answer;
  Answer.Outcome = UpstreamOutcome::Refused;
  const Duration Left = Job.Deadline - SteadyClock::now();
  if (Left <= Duration::zero())
    return Answer;
  connect(Own);
  Own.Client->set_read_timeout(Left + TimeoutMargin);
  Own.Client->set_write_timeout(Left + TimeoutMargin);
  httplib::Request Request = httpRequest(Job.Request, Left);
  Request.content_receiver = [&Answer](const char *Data, size_t Size, uint64_t,
                                       uint64_t) {
    Answer.Body.append(Data, Size);
    return Answer.Body.size() <= MaxAnswerBytes;
  };
  const httplib::Result Result = Own.Client->send(Request);
  if (Result) {
    fill(Answer, *Result);
    return Answer;
  }
  Answer.Body.clear();
  if (neverSent(Result.error()))
    return Answer;
  const bool Late = late(Own);
  Answer.Outcome = Late ? UpstreamOutcome::TimedOut : UpstreamOutcome::Failed;
  if (Late)
    ++Epoch;
  return Answer;
}

bool UpstreamClient::State::late(const Slot &Own) {
  const std::lock_guard Lock(Mutex);
  return !Own.Cancelled && SteadyClock::now() >= Own.Deadline;
}

/// Stops the sockets of cancelled runs and of runs past their deadline. Repeats
/// this until the run ends, since a stop has no effect on a socket that is not
/// connected yet.
void UpstreamClient::State::watch() {
  std::unique_lock Lock(Mutex);
  const auto AnyRunning = [this] {
    return std::ranges::any_of(
        Slots, [](const Slot &S) { return S.Running != RunId::None; });
  };
  while (!Stopping || AnyRunning()) {
    const TimePoint Now = SteadyClock::now();
    TimePoint Next = Now + 1min;
    for (Slot &Each : Slots) {
      if (Each.Running == RunId::None)
        continue;
      const bool Stop = Each.Cancelled || Now >= Each.Deadline;
      if (Stop && Each.Client)
        Each.Client->stop();
      Next = std::min(Next, Stop ? Now + StopInterval : Each.Deadline);
    }
    Watch.wait_until(Lock, Next);
  }
}

} // namespace dragonflystall
