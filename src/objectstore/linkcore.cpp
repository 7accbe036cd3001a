// Calls, rate limit and failure handling of the connection to the platform.
#include "objectstore/linkcore.h"

#include "roster/rosterjson.h"
#include "settings/objects.h"

#include <fmt/format.h>

namespace dragonflystall {

namespace {

constexpr std::string_view RostersPrefix = "rosters/";
/// Consecutive failed calls after which the platform is considered down.
constexpr uint32_t FailuresUntilDown = 2;

bool failed(StoreStatus Status) {
  return Status == StoreStatus::NotSent || Status == StoreStatus::Lost ||
         Status == StoreStatus::Invalid;
}

Event eventOf(EventKind Kind, std::string Detail) {
  Event E;
  E.Kind = Kind;
  E.Detail = std::move(Detail);
  return E;
}

constexpr std::array AllChannels = {LinkChannel::Calls, LinkChannel::Settings,
                                    LinkChannel::Rosters};

} // namespace

LinkCore::LinkCore(Config Settings)
    : Config_(std::move(Settings)), Random_(Config_.Seed), Session_(Random_()) {
}

void LinkCore::handle(const LinkEvent &Input, TimePoint Now, LinkActions &Out) {
  std::visit([&](const auto &Value) { on(Value, Now, Out); }, Input);
  startCalls(Now, Out);
}

LinkCore::Channel &LinkCore::channel(LinkChannel Id) {
  return Channels_[static_cast<size_t>(Id)];
}

void LinkCore::on(const LinkAnswer &Received, TimePoint Now, LinkActions &Out) {
  for (const LinkChannel Id : AllChannels)
    if (Received.Number != 0 && channel(Id).Outstanding == Received.Number)
      return onAnswer(Id, Received.Answer, Now, Out);
}

void LinkCore::on(const LinkWatchRoster &Request, TimePoint /*Now*/,
                  LinkActions &Out) {
  const auto [It, IsNew] =
      WatchedRosters_.try_emplace(rosterKey(Request.Team, Request.Name));
  WatchedRoster &Watched = It->second;
  if (Request.KnownVersion > Watched.KnownVersion) {
    Watched.KnownVersion = Request.KnownVersion;
    Watched.Pause = RereadPause;
  }
  if (!IsNew)
    return;
  Watched.Team = Request.Team;
  Watched.Name = Request.Name;
  updateRosterWatch(Out);
}

void LinkCore::on(const UpdateRoster &Update, TimePoint Now,
                  LinkActions & /*Out*/) {
  std::string Mark =
      fmt::format("{}.{:016x}.{}", Config_.Writer, Session_, ++WriteCount_);
  StoreCall Put{.Kind = StoreCallKind::Put,
                .Key = rosterKey(Update.Value.Team, Update.Value.Name),
                .Version = Update.Expected,
                .Value = rosterToJson(Update.Value),
                .Writer = std::move(Mark),
                .Team = Update.Value.Team};
  Writes_.push_back(
      {Update, ObjectWrite(std::move(Put), Now + RosterWriteTimeout)});
}

void LinkCore::on(const LinkSetWatching &Request, TimePoint Now,
                  LinkActions &Out) {
  if (std::exchange(Watching_, Request.Enabled) == Request.Enabled)
    return;
  if (Request.Enabled) {
    channel(LinkChannel::Settings).NotBefore = Now;
    return;
  }
  abandon(LinkChannel::Rosters, Out);
  if (!HasSettings_)
    return; // Roster reads start only after the first settings.
  abandon(LinkChannel::Settings, Out);
  channel(LinkChannel::Settings).NotBefore =
      Now + UnwatchedReadPeriod + jitter(Random_, UnwatchedReadPeriod / 2);
}

void LinkCore::on(const LinkTick & /*Tick*/, TimePoint Now, LinkActions &Out) {
  expire(Now, Out);
}

/// Ends calls without an answer by their deadline. Their connections may never
/// deliver anything again, so the next calls use new connections.
void LinkCore::expire(TimePoint Now, LinkActions &Out) {
  for (const LinkChannel Id : AllChannels) {
    Channel &C = channel(Id);
    if (C.Outstanding == 0 || Now < C.Deadline)
      continue;
    Out.emplace_back(LinkAbandon{Id});
    Out.emplace_back(eventOf(
        EventKind::PathReplaced,
        fmt::format(
            "the platform connection for {} timed out without an answer",
            dragonflystall::name(Id))));
    onAnswer(Id, {.Status = StoreStatus::Lost, .Detail = "no answer"}, Now,
             Out);
  }
}

void LinkCore::onAnswer(LinkChannel Id, const StoreAnswer &Answer,
                        TimePoint Now, LinkActions &Out) {
  Channel &C = channel(Id);
  const StoreCall Call = std::move(C.Call);
  C.Outstanding = 0;
  setNextCallTime(C, Answer, Now);
  updateReachability(Answer, Out);
  switch (Id) {
  case LinkChannel::Settings:
    return onSettings(Call, Answer, Now, Out);
  case LinkChannel::Rosters:
    return onRosters(Call, Answer, Out);
  case LinkChannel::Calls:
    if (Writing_)
      return onWrite(Answer, Now, Out);
    return onRead(Call.Key, Answer, Now, Out);
  }
}

void LinkCore::setNextCallTime(Channel &C, const StoreAnswer &Answer,
                               TimePoint Now) {
  if (Answer.Status == StoreStatus::Busy) {
    // The random delay of up to RetryAfter keeps the processes from calling
    // again all at once.
    C.NotBefore = Now + Answer.RetryAfter + jitter(Random_, Answer.RetryAfter);
    return;
  }
  if (!failed(Answer.Status)) {
    C.Failures = 0;
    return;
  }
  C.NotBefore = Now + backoff(Random_, C.Failures);
  ++C.Failures;
  C.Platform = (C.Platform + 1) % Config_.Platforms;
}

void LinkCore::updateReachability(const StoreAnswer &Answer, LinkActions &Out) {
  if (!failed(Answer.Status)) {
    FailuresInRow_ = 0;
    if (std::exchange(Down_, false))
      Out.emplace_back(eventOf(EventKind::PlatformBack, ""));
    return;
  }
  if (++FailuresInRow_ < FailuresUntilDown || Down_)
    return;
  Down_ = true;
  Out.emplace_back(eventOf(EventKind::PlatformLost, Answer.Detail));
}

bool LinkCore::hasGoneBack(const StoreCall &Watch, const StoreAnswer &Answer,
                           LinkActions &Out) {
  if (Answer.Revision >= Watch.Version)
    return false;
  Out.emplace_back(
      eventOf(EventKind::PlatformBack,
              fmt::format("{} is at revision {}, before {}: read anew",
                          Watch.Key, Answer.Revision, Watch.Version)));
  return true;
}

void LinkCore::onSettings(const StoreCall &Watch, const StoreAnswer &Answer,
                          TimePoint Now, LinkActions &Out) {
  if (Answer.Status != StoreStatus::Done)
    return;
  if (hasGoneBack(Watch, Answer, Out)) {
    SettingsRevision_ = 0;
    return;
  }
  if (!Watching_)
    channel(LinkChannel::Settings).NotBefore =
        Now + UnwatchedReadPeriod + jitter(Random_, UnwatchedReadPeriod / 2);
  SettingsRevision_ = std::max(SettingsRevision_, Answer.Revision);
  // The rosters are read after this answer, so their watch may start at its
  // revision.
  if (!std::exchange(HasSettings_, true) || WatchedRosters_.empty())
    RostersRevision_ = std::max(RostersRevision_, SettingsRevision_);
  if (!Answer.Objects.empty())
    Out.emplace_back(LinkSettings{Answer.Objects});
}

void LinkCore::onRosters(const StoreCall &Watch, const StoreAnswer &Answer,
                         LinkActions &Out) {
  if (Answer.Status != StoreStatus::Done)
    return;
  if (hasGoneBack(Watch, Answer, Out)) {
    RostersRevision_ = 0;
    return;
  }
  RostersRevision_ = std::max(RostersRevision_, Answer.Revision);
  for (const StoredObject &Object : Answer.Objects) {
    const auto It = WatchedRosters_.find(Object.Key);
    if (It != WatchedRosters_.end())
      deliver(It->second, Object, Out);
  }
}

void LinkCore::onRead(const std::string &Key, const StoreAnswer &Answer,
                      TimePoint Now, LinkActions &Out) {
  const auto It = WatchedRosters_.find(Key);
  if (It == WatchedRosters_.end())
    return;
  It->second.NextRead = Now + It->second.Pause;
  It->second.Pause = std::min(It->second.Pause * 2, MaxRereadPause);
  if (Answer.Status == StoreStatus::Absent)
    deliver(It->second, {}, Out);
  else if (Answer.Status == StoreStatus::Done && !Answer.Objects.empty())
    deliver(It->second, Answer.Objects.front(), Out);
}

/// Delivers the roster if it is newer than the version delivered last.
void LinkCore::deliver(WatchedRoster &Watched, const StoredObject &Object,
                       LinkActions &Out) {
  if (Watched.Delivered && Object.Version <= *Watched.Delivered)
    return;
  auto Parsed =
      rosterFromJson(Watched.Team, Watched.Name, Object.Version, Object.Value);
  if (!Parsed) {
    Out.emplace_back(
        eventOf(EventKind::SettingsRefused,
                fmt::format("{}: {}", rosterKey(Watched.Team, Watched.Name),
                            toString(Parsed.error()))));
    return;
  }
  Watched.Delivered = Object.Version;
  Out.emplace_back(*std::move(Parsed));
}

void LinkCore::onWrite(const StoreAnswer &Answer, TimePoint Now,
                       LinkActions &Out) {
  Writing_ = false;
  RosterWrite &Write = Writes_.front();
  std::optional<WriteResult> Result = Write.Steps.onAnswer(Answer, Now);
  if (!Result)
    return;
  Out.emplace_back(resultOf(Write, *std::move(Result)));
  Writes_.pop_front();
}

RosterWritten LinkCore::resultOf(const RosterWrite &Write, WriteResult Result) {
  using Outcome = RosterWritten::Result;
  const Roster &Requested = Write.Update.Value;
  RosterWritten Out{Outcome::Unknown, {}};
  Out.Stored.Service = Requested.Service;
  Out.Stored.Team = Requested.Team;
  Out.Stored.Name = Requested.Name;
  if (!Result.Stored)
    return Out;
  auto Stored = rosterFromJson(Requested.Team, Requested.Name,
                               Result.Stored->Version, Result.Stored->Value);
  if (!Stored)
    return Out;
  Out.Stored = *std::move(Stored);
  if (Result.Outcome == WriteOutcome::Written)
    Out.Outcome = Outcome::Written;
  else if (Result.Outcome == WriteOutcome::Conflict)
    Out.Outcome = Outcome::Conflict;
  return Out;
}

/// The key of the watched roster if there is only one. Several rosters are
/// watched by their common prefix, which takes one call for any number of them.
std::optional<std::string> LinkCore::rosterWatchPrefix() const {
  if (!Watching_ || WatchedRosters_.empty() ||
      WatchedRosters_.size() > MaxWatchedRosters)
    return std::nullopt;
  if (WatchedRosters_.size() == 1)
    return WatchedRosters_.begin()->first;
  return std::string(RostersPrefix);
}

/// Cancels the running watch if its prefix no longer fits the watched rosters.
/// The new watch starts at the same revision; rosters that were added are read
/// by separate calls.
void LinkCore::updateRosterWatch(LinkActions &Out) {
  const Channel &C = channel(LinkChannel::Rosters);
  const std::optional<std::string> Prefix = rosterWatchPrefix();
  if (!Prefix || C.Call.Key != *Prefix)
    abandon(LinkChannel::Rosters, Out);
}

/// Cancels the channel's call, if there is one.
void LinkCore::abandon(LinkChannel Id, LinkActions &Out) {
  if (std::exchange(channel(Id).Outstanding, 0) != 0)
    Out.emplace_back(LinkAbandon{Id});
}

std::optional<StoreCall> LinkCore::dueCall(LinkChannel Id,
                                           TimePoint Now) const {
  switch (Id) {
  case LinkChannel::Settings:
    // The platform answers the first watch without delay, even if nothing is
    // stored yet.
    return StoreCall{.Kind = StoreCallKind::Watch,
                     .Key = std::string(SettingsPrefix),
                     .Version = SettingsRevision_,
                     .Wait =
                         HasSettings_ && Watching_ ? WatchWait : Duration{}};
  case LinkChannel::Rosters:
    if (const auto Prefix = rosterWatchPrefix(); Prefix && HasSettings_)
      return StoreCall{.Kind = StoreCallKind::Watch,
                       .Key = *Prefix,
                       .Version = RostersRevision_,
                       .Wait = WatchWait};
    return std::nullopt;
  case LinkChannel::Calls:
    if (!Writes_.empty())
      return Writes_.front().Steps.nextCall();
    return dueRead(Now);
  }
  return std::nullopt;
}

std::optional<StoreCall> LinkCore::dueRead(TimePoint Now) const {
  if (!HasSettings_)
    return std::nullopt;
  for (const auto &[Key, Watched] : WatchedRosters_)
    if (Watched.isStale() && Now >= Watched.NextRead)
      return StoreCall{.Kind = StoreCallKind::Get, .Key = Key};
  return std::nullopt;
}

void LinkCore::startCalls(TimePoint Now, LinkActions &Out) {
  for (const LinkChannel Id : AllChannels) {
    const Channel &C = channel(Id);
    if (C.Outstanding != 0 || Now < C.NotBefore || Now < Budget_.nextCall())
      continue;
    if (auto Call = dueCall(Id, Now))
      startCall(Id, *std::move(Call), Now, Out);
  }
}

void LinkCore::startCall(LinkChannel Id, StoreCall Call, TimePoint Now,
                         LinkActions &Out) {
  Budget_.spend(Now);
  ++CallCount_;
  Channel &C = channel(Id);
  C.Outstanding = ++LastNumber_;
  C.Deadline = Now + Call.Wait + CallTimeout;
  C.Call = Call;
  if (Id == LinkChannel::Calls)
    Writing_ = !Writes_.empty();
  Out.emplace_back(LinkCall{C.Outstanding, Id, C.Platform, std::move(Call)});
}

TimePoint LinkCore::nextWork(LinkChannel Id) const {
  const Channel &C = Channels_[static_cast<size_t>(Id)];
  if (C.Outstanding != 0)
    return C.Deadline;
  if (!dueCall(Id, TimePoint::max()))
    return TimePoint::max();
  const TimePoint Earliest = std::max(C.NotBefore, Budget_.nextCall());
  if (Id != LinkChannel::Calls || !Writes_.empty())
    return Earliest;
  return std::max(Earliest, nextRead());
}

TimePoint LinkCore::nextRead() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Key, Watched] : WatchedRosters_)
    if (Watched.isStale())
      Next = std::min(Next, Watched.NextRead);
  return Next;
}

TimePoint LinkCore::nextTick() const {
  TimePoint Next = TimePoint::max();
  for (const LinkChannel Id : AllChannels)
    Next = std::min(Next, nextWork(Id));
  return Next;
}

} // namespace dragonflystall
