// The threads round LinkCore: one runs the core, one for each channel makes
// the blocking calls.
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

using Answered = std::function<void(LinkAnswered)>;

/// Makes a channel's calls, one at a time, on a thread of its own.
class Worker {
public:
  Worker(const std::vector<Endpoint> &Platform, Answered OnAnswer)
      : OnAnswer_(std::move(OnAnswer)) {
    for (const Endpoint Address : Platform)
      Stores_.push_back(std::make_unique<HttpStore>(Address));
    Thread_ = std::thread([this] { run(); });
  }
  ~Worker() {
    {
      const std::lock_guard Held(Mutex_);
      Stopping_ = true;
    }
    Changed_.notify_all();
    breakOff();
    Thread_.join();
  }
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;

  void start(LinkCall Call) {
    const std::lock_guard Held(Mutex_);
    Next_ = std::move(Call);
    Changed_.notify_all();
  }
  void abandon() {
    const std::lock_guard Held(Mutex_);
    Next_.reset();
    if (Running_)
      Stores_[*Running_]->stop();
  }

private:
  void run() {
    while (auto Call = take()) {
      StoreAnswer Answer = Stores_[Call->Platform]->call(Call->Call);
      {
        const std::lock_guard Held(Mutex_);
        Running_.reset();
        Changed_.notify_all();
      }
      OnAnswer_({Call->Number, std::move(Answer)});
    }
  }
  std::optional<LinkCall> take() {
    std::unique_lock Held(Mutex_);
    Changed_.wait(Held, [this] { return Stopping_ || Next_; });
    if (Stopping_)
      return std::nullopt;
    Running_ = Next_->Platform;
    return std::exchange(Next_, std::nullopt);
  }
  /// A call that was just about to connect does not notice one stop().
  void breakOff() {
    constexpr std::chrono::milliseconds Pause{20};
    std::unique_lock Held(Mutex_);
    while (Running_) {
      Stores_[*Running_]->stop();
      Changed_.wait_for(Held, Pause);
    }
  }

  Answered OnAnswer_;
  std::vector<std::unique_ptr<HttpStore>> Stores_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::optional<LinkCall> Next_;
  /// The index of the store that a call runs on.
  std::optional<size_t> Running_;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace

struct PlatformLink::State {
  State(const std::vector<Endpoint> &Platform, std::string Writer,
        Listener Owner);
  ~State();

  void post(LinkEvent What);
  void run();
  bool takeEvents(std::deque<LinkEvent> &Into, TimePoint Until);
  void carryOut(LinkAction &Action);
  void carryOut(LinkCall &Call);
  void carryOut(const LinkAbandon &Abandon);
  void carryOut(LinkSettings &Settings);
  void carryOut(Roster &Value);
  void carryOut(RosterWritten &Result);
  void carryOut(Event &What);

  /// Shared with posted tasks, which may outlive this object.
  std::shared_ptr<const Listener> Owner;
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
                           std::string Writer, Listener Owner)
    : Owner(std::make_shared<const Listener>(std::move(Owner))),
      Core({Platform.size(), std::move(Writer), std::random_device()()}) {
  for (auto &W : Workers)
    W = std::make_unique<Worker>(
        Platform, [this](LinkAnswered What) { post(std::move(What)); });
  Thread = std::thread([this] { run(); });
}

PlatformLink::State::~State() {
  {
    const std::lock_guard Held(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Thread.join();
  for (auto &W : Workers)
    W.reset();
}

void PlatformLink::State::post(LinkEvent What) {
  const std::lock_guard Held(Mutex);
  Events.push_back(std::move(What));
  Changed.notify_all();
}

void PlatformLink::State::run() {
  std::deque<LinkEvent> Taken;
  LinkActions Actions;
  do {
    Taken.emplace_back(LinkTick{});
    for (const LinkEvent &What : Taken)
      Core.handle(What, Clock.now(), Actions);
    Down = Core.isDown();
    Calls = Core.calls();
    for (LinkAction &Action : Actions)
      carryOut(Action);
    Actions.clear();
    Taken.clear();
  } while (takeEvents(Taken, Core.nextTick()));
}

/// Waits for events until the time given; false when it is time to stop.
bool PlatformLink::State::takeEvents(std::deque<LinkEvent> &Into,
                                     TimePoint Until) {
  // Bounded, since some libraries overflow on TimePoint::max().
  constexpr Duration LongestWait = 1min;
  Until = std::min(Until, Clock.now() + LongestWait);
  std::unique_lock Held(Mutex);
  Changed.wait_until(Held, Until,
                     [this] { return Stopping || !Events.empty(); });
  std::swap(Into, Events);
  return !Stopping;
}

void PlatformLink::State::carryOut(LinkAction &Action) {
  std::visit([this](auto &Value) { carryOut(Value); }, Action);
}

void PlatformLink::State::carryOut(LinkCall &Call) {
  Worker &Maker = *Workers[static_cast<size_t>(Call.Channel)];
  Maker.start(std::move(Call));
}

void PlatformLink::State::carryOut(const LinkAbandon &Abandon) {
  Workers[static_cast<size_t>(Abandon.Channel)]->abandon();
}

void PlatformLink::State::carryOut(LinkSettings &Settings) {
  Owner->Post([Owner = Owner, Objects = std::move(Settings.Objects)]() mutable {
    Owner->OnSettings(std::move(Objects));
  });
}

void PlatformLink::State::carryOut(Roster &Value) {
  Owner->Post([Owner = Owner, Value = std::move(Value)]() mutable {
    Owner->OnRoster(std::move(Value));
  });
}

void PlatformLink::State::carryOut(RosterWritten &Result) {
  Owner->Post([Owner = Owner, Result = std::move(Result)]() mutable {
    Owner->OnRosterWritten(std::move(Result));
  });
}

void PlatformLink::State::carryOut(Event &What) {
  Owner->Post([Owner = Owner, What = std::move(What)]() mutable {
    Owner->OnEvent(std::move(What));
  });
}

PlatformLink::PlatformLink(const std::vector<Endpoint> &Platform,
                           std::string Writer, Listener Owner)
    : State_(std::make_unique<State>(Platform, std::move(Writer),
                                     std::move(Owner))) {}

PlatformLink::~PlatformLink() = default;

void PlatformLink::watchRoster(const std::string &Team, const std::string &Name,
                               uint64_t KnownVersion) {
  State_->post(LinkWantRoster{Team, Name, KnownVersion});
}

void PlatformLink::updateRoster(const UpdateRoster &Update) {
  State_->post(Update);
}

void PlatformLink::setWatching(bool On) { State_->post(LinkSetWatching{On}); }

bool PlatformLink::isDown() const { return State_->Down; }

uint64_t PlatformLink::calls() const { return State_->Calls; }

} // namespace dragonflystall
