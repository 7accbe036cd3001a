// The threads around LinkCore: one runs the core, and one per channel makes the
// blocking calls.
#include "objectstore/link.h"

#include "objectstore/client.h"
#include "objectstore/linkcore.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace dragonflystall {

namespace {

using AnswerCallback = std::function<void(LinkAnswer)>;

/// Makes the calls of one channel, one at a time, on its own thread.
class Worker {
public:
  Worker(const std::vector<Endpoint> &Platform, AnswerCallback OnAnswer)
      : OnAnswer_(std::move(OnAnswer)) {
    for (const Endpoint Address : Platform)
      Stores_.push_back(std::make_unique<HttpStore>(Address));
    Thread_ = std::thread([this] { run(); });
  }
  ~Worker() {
    {
      const std::lock_guard Lock(Mutex_);
      Stopping_ = true;
    }
    Changed_.notify_all();
    cancelRunningCall();
    Thread_.join();
  }
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;

  void start(LinkCall Call) {
    const std::lock_guard Lock(Mutex_);
    NextCall_ = std::move(Call);
    Changed_.notify_all();
  }
  void abandon() {
    const std::lock_guard Lock(Mutex_);
    NextCall_.reset();
    if (RunningStore_)
      Stores_[*RunningStore_]->stop();
  }

private:
  void run() {
    while (auto Call = waitForCall()) {
      StoreAnswer Answer = Stores_[Call->Platform]->call(Call->Call);
      {
        const std::lock_guard Lock(Mutex_);
        RunningStore_.reset();
        Changed_.notify_all();
      }
      OnAnswer_({Call->Number, std::move(Answer)});
    }
  }
  std::optional<LinkCall> waitForCall() {
    std::unique_lock Lock(Mutex_);
    Changed_.wait(Lock, [this] { return Stopping_ || NextCall_; });
    if (Stopping_)
      return std::nullopt;
    RunningStore_ = NextCall_->Platform;
    return std::exchange(NextCall_, std::nullopt);
  }
  /// Repeats stop(), since a call that has not connected yet is not affected by
  /// a single one.
  void cancelRunningCall() {
    constexpr std::chrono::milliseconds Pause{20};
    std::unique_lock Lock(Mutex_);
    while (RunningStore_) {
      Stores_[*RunningStore_]->stop();
      Changed_.wait_for(Lock, Pause);
    }
  }

  AnswerCallback OnAnswer_;
  std::vector<std::unique_ptr<HttpStore>> Stores_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::optional<LinkCall> NextCall_;
  /// Index of the store with a call in progress.
  std::optional<size_t> RunningStore_;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace

struct PlatformLink::State {
  State(const std::vector<Endpoint> &Platform, std::string Writer,
        Listener Callbacks);
  ~State();

  void post(LinkEvent Input);
  void run();
  bool takeEvents(std::deque<LinkEvent> &Taken, TimePoint Deadline);
  void carryOut(LinkAction &Action);
  void carryOut(LinkCall &Call);
  void carryOut(const LinkAbandon &Abandon);
  void carryOut(LinkSettings &Settings);
  void carryOut(Roster &Value);
  void carryOut(RosterWritten &Result);
  void carryOut(Event &Report);

  /// Shared with the posted tasks, which may outlive this object.
  std::shared_ptr<const Listener> Callbacks;
  SystemClock Clock;
  LinkCore Core;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<LinkEvent> Events;
  bool Stopping = false;
  std::atomic<bool> Down{false};
  std::atomic<uint64_t> Calls{0};
  std::array<std::unique_ptr<Worker>, LinkChannelNames.size()> Workers;
  std::thread Thread;
};

PlatformLink::State::State(const std::vector<Endpoint> &Platform,
                           std::string Writer, Listener Callbacks)
    : Callbacks(std::make_shared<const Listener>(std::move(Callbacks))),
      Core({Platform.size(), std::move(Writer), std::random_device()()}) {
  for (auto &W : Workers)
    W = std::make_unique<Worker>(
        Platform, [this](LinkAnswer Answer) { post(std::move(Answer)); });
  Thread = std::thread([this] { run(); });
}

PlatformLink::State::~State() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Thread.join();
  for (auto &W : Workers)
    W.reset();
}

void PlatformLink::State::post(LinkEvent Input) {
  const std::lock_guard Lock(Mutex);
  Events.push_back(std::move(Input));
  Changed.notify_all();
}

void PlatformLink::State::run() {
  std::deque<LinkEvent> Taken;
  LinkActions Actions;
  do {
    Taken.emplace_back(LinkTick{});
    for (const LinkEvent &Input : Taken)
      Core.handle(Input, Clock.now(), Actions);
    Down = Core.isDown();
    Calls = Core.calls();
    for (LinkAction &Action : Actions)
      carryOut(Action);
    Actions.clear();
    Taken.clear();
  } while (takeEvents(Taken, Core.nextTick()));
}

/// Waits for events until Deadline. False if the thread has to stop.
bool PlatformLink::State::takeEvents(std::deque<LinkEvent> &Taken,
                                     TimePoint Deadline) {
  // Limited, since some libraries overflow on TimePoint::max().
  constexpr Duration LongestWait = 1min;
  Deadline = std::min(Deadline, Clock.now() + LongestWait);
  std::unique_lock Lock(Mutex);
  Changed.wait_until(Lock, Deadline,
                     [this] { return Stopping || !Events.empty(); });
  std::swap(Taken, Events);
  return !Stopping;
}

void PlatformLink::State::carryOut(LinkAction &Action) {
  std::visit([this](auto &Value) { carryOut(Value); }, Action);
}

void PlatformLink::State::carryOut(LinkCall &Call) {
  Worker &ChannelWorker = *Workers[static_cast<size_t>(Call.Channel)];
  ChannelWorker.start(std::move(Call));
}

void PlatformLink::State::carryOut(const LinkAbandon &Abandon) {
  Workers[static_cast<size_t>(Abandon.Channel)]->abandon();
}

void PlatformLink::State::carryOut(LinkSettings &Settings) {
  Callbacks->Post(
      [Callbacks = Callbacks, Objects = std::move(Settings.Objects)]() mutable {
        Callbacks->OnSettings(std::move(Objects));
      });
}

void PlatformLink::State::carryOut(Roster &Value) {
  Callbacks->Post([Callbacks = Callbacks, Value = std::move(Value)]() mutable {
    Callbacks->OnRoster(std::move(Value));
  });
}

void PlatformLink::State::carryOut(RosterWritten &Result) {
  Callbacks->Post(
      [Callbacks = Callbacks, Result = std::move(Result)]() mutable {
        Callbacks->OnRosterWritten(std::move(Result));
      });
}

void PlatformLink::State::carryOut(Event &Report) {
  Callbacks->Post(
      [Callbacks = Callbacks, Report = std::move(Report)]() mutable {
        Callbacks->OnEvent(std::move(Report));
      });
}

PlatformLink::PlatformLink(const std::vector<Endpoint> &Platform,
                           std::string Writer, Listener Callbacks)
    : State_(std::make_unique<State>(Platform, std::move(Writer),
                                     std::move(Callbacks))) {}

PlatformLink::~PlatformLink() = default;

void PlatformLink::watchRoster(const std::string &Team, const std::string &Name,
                               uint64_t KnownVersion) {
  State_->post(LinkWatchRoster{Team, Name, KnownVersion});
}

void PlatformLink::updateRoster(const UpdateRoster &Update) {
  State_->post(Update);
}

void PlatformLink::setWatching(bool Enabled) {
  State_->post(LinkSetWatching{Enabled});
}

bool PlatformLink::isDown() const { return State_->Down; }

uint64_t PlatformLink::calls() const { return State_->Calls; }

} // namespace dragonflystall
