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

bool isConnectError(httplib::Error Error) {
  return Error == httplib::Error::Connection ||
         Error == httplib::Error::ConnectionTimeout ||
         Error == httplib::Error::BindIPAddress;
}

httplib::Request httpRequest(const RunUpstream &Run, Duration Remaining) {
  httplib::Request Request;
  Request.method = methodName(Run.Method);
  Request.path = Run.Path.empty() ? "/" : Run.Path;
  if (!Run.Query.empty())
    Request.path += '?' + Run.Query;
  Request.body = Run.Body;
  if (Run.ContentFormat)
    Request.set_header("Content-Type",
                       std::string(mediaTypeOf(*Run.ContentFormat)));
  const auto RemainingMs =
      std::chrono::ceil<std::chrono::milliseconds>(Remaining);
  Request.set_header("X-Request-Id",
                     std::to_string(static_cast<uint64_t>(Run.Run)));
  Request.set_header("X-Caller", toString(Run.Caller));
  Request.set_header("X-Timeout-Ms", std::to_string(RemainingMs.count()));
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

struct QueuedRun {
  RunUpstream Request;
  TimePoint Deadline;
};

} // namespace

struct UpstreamClient::State {
  Endpoint Upstream;
  Listener Callbacks;
  std::mutex Mutex;
  std::condition_variable QueueChanged;
  std::condition_variable SlotsChanged;
  /// Invariant: a run is either in Queue or in one slot.
  std::deque<QueuedRun> Queue;
  std::vector<Slot> Slots;
  bool Stopping = false;
  /// Incremented when a run times out: connections opened before are not
  /// reused.
  std::atomic<uint64_t> Epoch = 1;
  std::vector<std::thread> Threads;
  std::unique_ptr<HintPoller> Poller;

  void serve(size_t Index);
  void watch();
  std::optional<QueuedRun> take(Slot &AssignedSlot);
  void release(Slot &AssignedSlot);
  void connect(Slot &AssignedSlot);
  UpstreamAnswer execute(Slot &AssignedSlot, const QueuedRun &Job);
  bool hasTimedOut(const Slot &AssignedSlot);
};

UpstreamClient::UpstreamClient(Endpoint Upstream, uint32_t Slots,
                               Listener Callbacks)
    : State_(std::make_unique<State>()) {
  State_->Upstream = Upstream;
  State_->Callbacks = std::move(Callbacks);
  State_->Slots = std::vector<Slot>(std::max(Slots, 1U));
  for (size_t I = 0; I < State_->Slots.size(); ++I)
    State_->Threads.emplace_back([this, I] { State_->serve(I); });
  State_->Threads.emplace_back([this] { State_->watch(); });
  State_->Poller =
      std::make_unique<HintPoller>(Upstream, State_->Callbacks.OnHint);
}

UpstreamClient::~UpstreamClient() {
  {
    const std::lock_guard Lock(State_->Mutex);
    State_->Stopping = true;
    for (Slot &SlotEntry : State_->Slots)
      SlotEntry.Cancelled = true;
  }
  State_->QueueChanged.notify_all();
  State_->SlotsChanged.notify_all();
  for (std::thread &Thread : State_->Threads)
    Thread.join();
}

void UpstreamClient::run(const RunUpstream &Request) {
  {
    const std::lock_guard Lock(State_->Mutex);
    State_->Queue.push_back({Request, SteadyClock::now() + Request.Timeout});
  }
  State_->QueueChanged.notify_one();
}

void UpstreamClient::cancel(RunId Run) {
  const std::lock_guard Lock(State_->Mutex);
  for (Slot &SlotEntry : State_->Slots)
    if (SlotEntry.Running == Run)
      SlotEntry.Cancelled = true;
  // A queued run is not sent once its deadline has passed.
  for (QueuedRun &Queued : State_->Queue)
    if (Queued.Request.Run == Run)
      Queued.Deadline = TimePoint();
  State_->SlotsChanged.notify_all();
}

void UpstreamClient::State::serve(size_t Index) {
  Slot &AssignedSlot = Slots[Index];
  while (auto Job = take(AssignedSlot)) {
    UpstreamAnswer Answer = execute(AssignedSlot, *Job);
    Answer.Run = Job->Request.Run;
    release(AssignedSlot);
    Callbacks.OnAnswer(std::move(Answer));
  }
}

std::optional<QueuedRun> UpstreamClient::State::take(Slot &AssignedSlot) {
  std::unique_lock Lock(Mutex);
  QueueChanged.wait(Lock, [this] { return Stopping || !Queue.empty(); });
  if (Stopping)
    return std::nullopt;
  QueuedRun Job = std::move(Queue.front());
  Queue.pop_front();
  AssignedSlot.Running = Job.Request.Run;
  AssignedSlot.Deadline = Job.Deadline;
  AssignedSlot.Cancelled = false;
  SlotsChanged.notify_all();
  return Job;
}

void UpstreamClient::State::release(Slot &AssignedSlot) {
  const std::lock_guard Lock(Mutex);
  AssignedSlot.Running = RunId::None;
  AssignedSlot.LastUsed = SteadyClock::now();
}

void UpstreamClient::State::connect(Slot &AssignedSlot) {
  const bool IsReusable = AssignedSlot.Client && AssignedSlot.Epoch == Epoch &&
                          SteadyClock::now() - AssignedSlot.LastUsed < MaxIdle;
  if (IsReusable)
    return;
  auto Client =
      std::make_unique<httplib::Client>(ipText(Upstream.Ip), Upstream.Port);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  Client->set_url_encode(false);
  Client->set_connection_timeout(ConnectTimeout);
  const std::lock_guard Lock(Mutex);
  AssignedSlot.Client = std::move(Client);
  AssignedSlot.Epoch = Epoch;
}

UpstreamAnswer UpstreamClient::State::execute(Slot &AssignedSlot,
                                              const QueuedRun &Job) {
  UpstreamAnswer Answer;
  Answer.Outcome = UpstreamOutcome::Refused;
  const Duration Remaining = Job.Deadline - SteadyClock::now();
  if (Remaining <= Duration::zero())
    return Answer;
  connect(AssignedSlot);
  AssignedSlot.Client->set_read_timeout(Remaining + TimeoutMargin);
  AssignedSlot.Client->set_write_timeout(Remaining + TimeoutMargin);
  httplib::Request Request = httpRequest(Job.Request, Remaining);
  Request.content_receiver = [&Answer](const char *Data, size_t Size, uint64_t,
                                       uint64_t) {
    Answer.Body.append(Data, Size);
    return Answer.Body.size() <= MaxAnswerBytes;
  };
  const httplib::Result Result = AssignedSlot.Client->send(Request);
  if (Result) {
    fill(Answer, *Result);
    return Answer;
  }
  Answer.Body.clear();
  if (isConnectError(Result.error()))
    return Answer;
  const bool TimedOut = hasTimedOut(AssignedSlot);
  Answer.Outcome =
      TimedOut ? UpstreamOutcome::TimedOut : UpstreamOutcome::Failed;
  if (TimedOut)
    ++Epoch;
  return Answer;
}

bool UpstreamClient::State::hasTimedOut(const Slot &AssignedSlot) {
  const std::lock_guard Lock(Mutex);
  return !AssignedSlot.Cancelled && SteadyClock::now() >= AssignedSlot.Deadline;
}

/// Stops the sockets of cancelled runs and of runs past their deadline. Repeats
/// this until the run ends, since a stop has no effect on a socket that is not
/// connected yet.
void UpstreamClient::State::watch() {
  std::unique_lock Lock(Mutex);
  const auto AnyRunning = [this] {
    return std::ranges::any_of(Slots, [](const Slot &Candidate) {
      return Candidate.Running != RunId::None;
    });
  };
  while (!Stopping || AnyRunning()) {
    const TimePoint Now = SteadyClock::now();
    TimePoint Next = Now + 1min;
    for (Slot &SlotEntry : Slots) {
      if (SlotEntry.Running == RunId::None)
        continue;
      const bool MustStop = SlotEntry.Cancelled || Now >= SlotEntry.Deadline;
      if (MustStop && SlotEntry.Client)
        SlotEntry.Client->stop();
      Next = std::min(Next, MustStop ? Now + StopInterval : SlotEntry.Deadline);
    }
    SlotsChanged.wait_until(Lock, Next);
  }
}

} // namespace dragonflystall
