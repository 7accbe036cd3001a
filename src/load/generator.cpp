// The load's loop.
#include "load/generator.h"

#include "caller/callersocket.h"
#include "dragonflystall/caller.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <fmt/format.h>
#include <fstream>
#include <numeric>
#include <queue>
#include <sys/epoll.h>
#include <unistd.h>

namespace dragonflystall::load {

namespace {

constexpr Duration PhaseFileEvery = 50ms;
constexpr Duration ProgressEvery = 1s;
/// A line of the phase file that lets no more calls start.
constexpr std::string_view EndOfRun = "end";
constexpr size_t EventsARound = 256;

/// One flow: its socket, its caller, and the call in progress.
struct Flow {
  Flow(CallerSocket Socket, uint64_t Seed, Duration AckTimeout, uint32_t Target)
      : Socket(std::move(Socket)), Core(Seed, AckTimeout), Target(Target) {}

  CallerSocket Socket;
  Caller Core;
  uint32_t Target;
  uint32_t Sequence = 0;
  bool Busy = false;
  Sample Running; ///< Valid while Busy.
  size_t Bytes = 0;
};

class Generator {
public:
  Generator(const Options &Asked, Tally &Seen)
      : Asked_(Asked), Seen_(Seen), Bits_(Asked.Seed), Run_(Bits_()),
        Length_(Asked.Length) {}
  ~Generator() {
    if (Poll_ >= 0)
      ::close(Poll_);
  }

  tl::expected<void, std::string> open();
  void run();

private:
  Duration elapsed() const { return SystemClock().now() - Start_; }
  uint32_t targetOf(uint32_t Index) const;
  double callsDueBy(Duration Elapsed) const;
  void startDueCalls();
  Flow *nextFreeFlow(uint32_t &Index);
  void startCall(uint32_t Index, Flow &F);
  Call nextCall(Flow &F);
  void carryOut(uint32_t Index, const CallerOutput &Out);
  void finishCall(Flow &F, const CallResult &Result);
  void runTimers();
  void waitForPackets();
  void readPhases();
  void printProgress();

  const Options &Asked_;
  Tally &Seen_;
  Random Bits_;
  const uint64_t Run_; ///< Makes keys of different runs differ.
  Duration Length_;
  TimePoint Start_{};
  std::deque<Flow> Flows_;
  std::vector<uint32_t> Order_; ///< In which flows take turns.
  size_t Turn_ = 0;
  int Poll_ = -1;
  uint64_t Started_ = 0;
  uint64_t Active_ = 0;
  bool Warm_ = false;
  size_t NextPhase_ = 0;
  std::ifstream PhaseFile_;
  Duration NextPhaseRead_{};
  Duration NextProgress_ = ProgressEvery;
  struct Timer {
    TimePoint At;
    uint32_t Flow;
    bool operator>(const Timer &Other) const { return At > Other.At; }
  };
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> Timers_;
};

uint32_t Generator::targetOf(uint32_t Index) const {
  uint32_t Total = 0;
  for (const Target &T : Asked_.Targets)
    Total += T.Weight;
  uint32_t Place = Index % Total;
  for (uint32_t I = 0; I < Asked_.Targets.size(); ++I) {
    if (Place < Asked_.Targets[I].Weight)
      return I;
    Place -= Asked_.Targets[I].Weight;
  }
  return 0;
}

tl::expected<void, std::string> Generator::open() {
  Poll_ = ::epoll_create1(EPOLL_CLOEXEC);
  if (Poll_ < 0)
    return tl::unexpected(std::string(std::strerror(errno)));
  for (uint32_t I = 0; I < Asked_.Flows; ++I) {
    const uint32_t Index = targetOf(I);
    auto Socket = CallerSocket::connect({}, Asked_.Targets[Index].Address);
    if (!Socket)
      return tl::unexpected(
          fmt::format("socket of flow {}: {}", I, Socket.error()));
    Flow &Added = Flows_.emplace_back(std::move(*Socket), Bits_(),
                                      Asked_.AckTimeout, Index);
    epoll_event Watch{};
    Watch.events = EPOLLIN;
    Watch.data.u32 = I;
    ::epoll_ctl(Poll_, EPOLL_CTL_ADD, Added.Socket.descriptor(), &Watch);
  }
  Order_.resize(Asked_.Flows);
  std::iota(Order_.begin(), Order_.end(), 0);
  std::shuffle(Order_.begin(), Order_.end(), Bits_);
  if (!Asked_.PhaseFile.empty())
    PhaseFile_.open(Asked_.PhaseFile);
  return {};
}

Flow *Generator::nextFreeFlow(uint32_t &Index) {
  for (size_t Tried = 0; Tried < Order_.size(); ++Tried) {
    Index = Order_[Turn_];
    Turn_ = (Turn_ + 1) % Order_.size();
    if (!Flows_[Index].Busy)
      return &Flows_[Index];
  }
  return nullptr;
}

double Generator::callsDueBy(Duration Elapsed) const {
  using Seconds = std::chrono::duration<double>;
  const double Now = Seconds(Elapsed).count();
  const double WarmUp = Seconds(Asked_.WarmUp).count();
  if (Now < WarmUp)
    return Asked_.Rate * Now * Now / (2 * WarmUp);
  return Asked_.Rate * (Now - WarmUp / 2);
}

/// Calls start evenly spaced; what a busy loop missed is caught up with.
void Generator::startDueCalls() {
  const Duration Now = elapsed();
  if (Now >= Length_)
    return;
  const auto Due = static_cast<uint64_t>(callsDueBy(Now));
  while (Started_ < Due) {
    ++Started_;
    uint32_t Index = 0;
    Flow *Free = nextFreeFlow(Index);
    if (Free)
      startCall(Index, *Free);
    else
      Seen_.callSkipped();
  }
}

Call Generator::nextCall(Flow &F) {
  std::uniform_int_distribution<uint32_t> Percent(0, 99);
  Call What;
  What.Timeout = Asked_.Timeout;
  F.Bytes = 0;
  F.Running = {};
  F.Running.Key =
      fmt::format("{:016x}-{}-{}", Run_, F.Socket.local().Port, ++F.Sequence);
  F.Running.Post = Percent(Bits_) < Asked_.PostPercent;
  if (F.Running.Post) {
    What.Method = Code::Post;
    What.Path = "/entries";
    What.Body = F.Running.Key;
    return What;
  }
  What.Query = "key=" + F.Running.Key;
  What.Path = "/entries/1";
  if (Percent(Bits_) < Asked_.LargePercent) {
    F.Bytes = Asked_.LargeBytes;
    What.Path = fmt::format("/bytes/{}", F.Bytes);
  }
  return What;
}

void Generator::startCall(uint32_t Index, Flow &F) {
  const Call What = nextCall(F);
  F.Busy = true;
  F.Running.Flow = Index;
  F.Running.Target = F.Target;
  F.Running.Started = elapsed();
  ++Active_;
  Seen_.callStarted(F.Running.Started);
  CallerOutput Out;
  F.Core.start(What, SystemClock().now(), Out);
  carryOut(Index, Out);
}

void Generator::carryOut(uint32_t Index, const CallerOutput &Out) {
  Flow &F = Flows_[Index];
  for (const Message &Each : Out.Send)
    F.Socket.send(Each);
  for (const CallResult &Each : Out.Done)
    finishCall(F, Each);
  const TimePoint Next = F.Core.nextTick();
  if (Next != TimePoint::max())
    Timers_.push({Next, Index});
}

void Generator::finishCall(Flow &F, const CallResult &Result) {
  Sample &S = F.Running;
  S.Ended = elapsed();
  S.Result = Result;
  const Expectation Expected{Asked_.Targets[F.Target].Service, S.Key,
                             F.Socket.local(), F.Bytes};
  if (Result.Outcome == Verdict::Ran && Result.Kind != Code::Empty)
    S.Check = checkAnswer(Result.Body, Expected);
  S.Result.Body.clear();
  Seen_.add(S);
  F.Busy = false;
  --Active_;
}

/// A timer may be out of date: the caller then finds nothing to do.
void Generator::runTimers() {
  const TimePoint Now = SystemClock().now();
  while (!Timers_.empty() && Timers_.top().At <= Now) {
    const uint32_t Index = Timers_.top().Flow;
    Timers_.pop();
    if (!Flows_[Index].Busy)
      continue;
    CallerOutput Out;
    Flows_[Index].Core.tick(Now, Out);
    carryOut(Index, Out);
  }
}

void Generator::waitForPackets() {
  std::array<epoll_event, EventsARound> Ready;
  const int Count = ::epoll_wait(Poll_, Ready.data(), EventsARound, 1);
  for (int I = 0; I < Count; ++I) {
    const uint32_t Index = Ready[static_cast<size_t>(I)].data.u32;
    for (const Message &Each : Flows_[Index].Socket.receive()) {
      CallerOutput Out;
      Flows_[Index].Core.onMessage(Each, SystemClock().now(), Out);
      carryOut(Index, Out);
    }
  }
}

void Generator::readPhases() {
  const Duration Now = elapsed();
  if (!Warm_ && Now >= Asked_.WarmUp) {
    Warm_ = true;
    Seen_.startPhase("steady", Now);
  }
  while (NextPhase_ < Asked_.Phases.size() &&
         Asked_.Phases[NextPhase_].At <= Now)
    Seen_.startPhase(Asked_.Phases[NextPhase_++].Name, Now);
  if (!PhaseFile_.is_open() || Now < NextPhaseRead_)
    return;
  NextPhaseRead_ = Now + PhaseFileEvery;
  std::string Line;
  while (std::getline(PhaseFile_, Line)) {
    if (Line == EndOfRun)
      Length_ = std::min(Length_, elapsed());
    else
      Seen_.startPhase(Line, elapsed());
  }
  PhaseFile_.clear();
}

void Generator::printProgress() {
  if (!Asked_.Progress || elapsed() < NextProgress_)
    return;
  NextProgress_ += ProgressEvery;
  const PhaseTally &Phase = Seen_.phases().back();
  fmt::print(stderr,
             "\r{:>5.0f} s  {:<24} {} calls, {} served, {} refused, {} flows "
             "open, {} broken   ",
             std::chrono::duration<double>(elapsed()).count(), Phase.Name,
             Phase.Calls, Phase.Served, Phase.Refused, Seen_.openFlows(),
             Seen_.brokenFlows());
}

void Generator::run() {
  Start_ = SystemClock().now();
  while (elapsed() < Length_ || Active_ > 0) {
    readPhases();
    startDueCalls();
    waitForPackets();
    runTimers();
    printProgress();
  }
  if (Asked_.Progress)
    fmt::print(stderr, "\n");
}

} // namespace

tl::expected<void, std::string> drive(const Options &Asked, Tally &Seen) {
  Generator G(Asked, Seen);
  if (auto Opened = G.open(); !Opened)
    return Opened;
  G.run();
  return {};
}

} // namespace dragonflystall::load
