// Calls, pacing and failures of the connection to the platform.
#include "objectstore/linkcore.h"

#include "roster/rosterjson.h"
#include "settings/objects.h"

#include <fmt/format.h>

namespace dragonflystall {

namespace {

constexpr std::string_view RostersPrefix = "rosters/";
/// Failed calls in a row after which the platform counts as down.
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

void LinkCore::handle(const LinkEvent &What, TimePoint Now, LinkActions &Out) {
  std::visit([&](const auto &Value) { on(Value, Now, Out); }, What);
  startCalls(Now, Out);
}

LinkCore::Channel &LinkCore::channel(LinkChannel Which) {
  return Channels_[static_cast<size_t>(Which)];
}

void LinkCore::on(const LinkAnswered &What, TimePoint Now, LinkActions &Out) {
  for (const LinkChannel Which : AllChannels)
    if (What.Number != 0 && channel(Which).Outstanding == What.Number)
      return onAnswer(Which, What.Answer, Now, Out);
}

void LinkCore::on(const LinkWantRoster &What, TimePoint /*Now*/,
                  LinkActions &Out) {
  const auto [It, IsNew] = Wanted_.try_emplace(rosterKey(What.Team, What.Name));
  WantedRoster &Wanted = It->second;
  if (What.KnownVersion > Wanted.KnownVersion) {
    Wanted.KnownVersion = What.KnownVersion;
    Wanted.Pause = RereadPause;
  }
  if (!IsNew)
    return;
  Wanted.Team = What.Team;
  Wanted.Name = What.Name;
  rescopeWatch(Out);
}

void LinkCore::on(const UpdateRoster &What, TimePoint Now,
                  LinkActions & /*Out*/) {
  std::string Mark =
      fmt::format("{}.{:016x}.{}", Config_.Writer, Session_, ++Marks_);
  StoreCall Put{.Kind = StoreCallKind::Put,
                .Key = rosterKey(What.Value.Team, What.Value.Name),
                .Version = What.Expected,
                .Value = rosterToJson(What.Value),
                .Writer = std::move(Mark),
                .Team = What.Value.Team};
  Writes_.push_back({What, ObjectWrite(std::move(Put), Now + WriteGiveUp)});
}

void LinkCore::on(const LinkSetWatching &What, TimePoint Now,
                  LinkActions &Out) {
  if (std::exchange(Watching_, What.On) == What.On)
    return;
  if (What.On) {
    channel(LinkChannel::Settings).NotBefore = Now;
    return;
  }
  abandon(LinkChannel::Rosters, Out);
  if (!SettingsKnown_)
    return; // Roster reads need the first answer.
  abandon(LinkChannel::Settings, Out);
  channel(LinkChannel::Settings).NotBefore =
      Now + BackstopPeriod + jitter(Random_, BackstopPeriod / 2);
}

void LinkCore::on(const LinkTick & /*What*/, TimePoint Now, LinkActions &Out) {
  expire(Now, Out);
}

/// A call whose answer is overdue: the connection may be silent for good, so
/// the next call goes over a new one.
void LinkCore::expire(TimePoint Now, LinkActions &Out) {
  for (const LinkChannel Which : AllChannels) {
    Channel &C = channel(Which);
    if (C.Outstanding == 0 || Now < C.Deadline)
      continue;
    Out.emplace_back(LinkAbandon{Which});
    Out.emplace_back(eventOf(
        EventKind::PathReplaced,
        fmt::format("platform, {}: silent", dragonflystall::name(Which))));
    onAnswer(Which, {.Status = StoreStatus::Lost, .Detail = "no answer"}, Now,
             Out);
  }
}

void LinkCore::onAnswer(LinkChannel Which, const StoreAnswer &Answer,
                        TimePoint Now, LinkActions &Out) {
  Channel &C = channel(Which);
  const StoreCall Call = std::move(C.Call);
  C.Outstanding = 0;
  pace(C, Answer, Now);
  noteReachable(Answer, Out);
  switch (Which) {
  case LinkChannel::Settings:
    return onSettings(Answer, Now, Out);
  case LinkChannel::Rosters:
    return onRosters(Answer, Out);
  case LinkChannel::Calls:
    if (Writing_)
      return onWrite(Answer, Now, Out);
    return onRead(Call.Key, Answer, Now, Out);
  }
}

void LinkCore::pace(Channel &C, const StoreAnswer &Answer, TimePoint Now) {
  if (Answer.Status == StoreStatus::Busy) {
    // Spread over as long again, or all would come back at once.
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

void LinkCore::noteReachable(const StoreAnswer &Answer, LinkActions &Out) {
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

void LinkCore::onSettings(const StoreAnswer &Answer, TimePoint Now,
                          LinkActions &Out) {
  if (Answer.Status != StoreStatus::Done)
    return;
  if (!Watching_)
    channel(LinkChannel::Settings).NotBefore =
        Now + BackstopPeriod + jitter(Random_, BackstopPeriod / 2);
  SettingsSince_ = std::max(SettingsSince_, Answer.Revision);
  // Rosters are read after this answer, so their watch may start here.
  if (!std::exchange(SettingsKnown_, true) || Wanted_.empty())
    RostersSince_ = std::max(RostersSince_, SettingsSince_);
  if (!Answer.Objects.empty())
    Out.emplace_back(LinkSettings{Answer.Objects});
}

void LinkCore::onRosters(const StoreAnswer &Answer, LinkActions &Out) {
  if (Answer.Status != StoreStatus::Done)
    return;
  RostersSince_ = std::max(RostersSince_, Answer.Revision);
  for (const StoredObject &Object : Answer.Objects) {
    const auto It = Wanted_.find(Object.Key);
    if (It != Wanted_.end())
      deliver(It->second, Object, Out);
  }
}

void LinkCore::onRead(const std::string &Key, const StoreAnswer &Answer,
                      TimePoint Now, LinkActions &Out) {
  const auto It = Wanted_.find(Key);
  if (It == Wanted_.end())
    return;
  It->second.NextRead = Now + It->second.Pause;
  It->second.Pause = std::min(It->second.Pause * 2, MaxRereadPause);
  if (Answer.Status == StoreStatus::Absent)
    deliver(It->second, {}, Out);
  else if (Answer.Status == StoreStatus::Done && !Answer.Objects.empty())
    deliver(It->second, Answer.Objects.front(), Out);
}

/// Hands the roster over unless it is older than what was handed over.
void LinkCore::deliver(WantedRoster &Wanted, const StoredObject &Object,
                       LinkActions &Out) {
  if (Wanted.Delivered && Object.Version <= *Wanted.Delivered)
    return;
  auto Parsed =
      rosterFromJson(Wanted.Team, Wanted.Name, Object.Version, Object.Value);
  if (!Parsed) {
    Out.emplace_back(
        eventOf(EventKind::SettingsRefused,
                fmt::format("{}: {}", rosterKey(Wanted.Team, Wanted.Name),
                            toString(Parsed.error()))));
    return;
  }
  Wanted.Delivered = Object.Version;
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
  const Roster &Wanted = Write.Update.Value;
  RosterWritten Out{Outcome::Unknown, {}};
  Out.Stored.Service = Wanted.Service;
  Out.Stored.Team = Wanted.Team;
  Out.Stored.Name = Wanted.Name;
  if (!Result.Stored)
    return Out;
  auto Stored = rosterFromJson(Wanted.Team, Wanted.Name, Result.Stored->Version,
                               Result.Stored->Value);
  if (!Stored)
    return Out;
  Out.Stored = *std::move(Stored);
  if (Result.Outcome == WriteOutcome::Written)
    Out.Outcome = Outcome::Written;
  else if (Result.Outcome == WriteOutcome::Conflict)
    Out.Outcome = Outcome::Conflict;
  return Out;
}

/// One wanted roster is watched by its key; several by their common prefix,
/// which costs one call however many they are.
std::optional<std::string> LinkCore::rosterScope() const {
  if (!Watching_ || Wanted_.empty() || Wanted_.size() > MaxWatchedRosters)
    return std::nullopt;
  if (Wanted_.size() == 1)
    return Wanted_.begin()->first;
  return std::string(RostersPrefix);
}

/// The wanted rosters changed: a watch of the earlier scope is given up. The
/// new one starts at the same revision; newly wanted rosters are read apart.
void LinkCore::rescopeWatch(LinkActions &Out) {
  const Channel &C = channel(LinkChannel::Rosters);
  const std::optional<std::string> Scope = rosterScope();
  if (!Scope || C.Call.Key != *Scope)
    abandon(LinkChannel::Rosters, Out);
}

/// Gives the channel's call up, if there is one.
void LinkCore::abandon(LinkChannel Which, LinkActions &Out) {
  if (std::exchange(channel(Which).Outstanding, 0) != 0)
    Out.emplace_back(LinkAbandon{Which});
}

std::optional<StoreCall> LinkCore::wantedCall(LinkChannel Which,
                                              TimePoint Now) const {
  switch (Which) {
  case LinkChannel::Settings:
    // The first answer comes at once, also when nothing is stored yet.
    return StoreCall{.Kind = StoreCallKind::Watch,
                     .Key = std::string(SettingsPrefix),
                     .Version = SettingsSince_,
                     .Wait =
                         SettingsKnown_ && Watching_ ? WatchWait : Duration{}};
  case LinkChannel::Rosters:
    if (const auto Scope = rosterScope(); Scope && SettingsKnown_)
      return StoreCall{.Kind = StoreCallKind::Watch,
                       .Key = *Scope,
                       .Version = RostersSince_,
                       .Wait = WatchWait};
    return std::nullopt;
  case LinkChannel::Calls:
    if (!Writes_.empty())
      return Writes_.front().Steps.nextCall();
    return wantedRead(Now);
  }
  return std::nullopt;
}

std::optional<StoreCall> LinkCore::wantedRead(TimePoint Now) const {
  if (!SettingsKnown_)
    return std::nullopt;
  for (const auto &[Key, Wanted] : Wanted_)
    if (Wanted.stale() && Now >= Wanted.NextRead)
      return StoreCall{.Kind = StoreCallKind::Get, .Key = Key};
  return std::nullopt;
}

void LinkCore::startCalls(TimePoint Now, LinkActions &Out) {
  for (const LinkChannel Which : AllChannels) {
    const Channel &C = channel(Which);
    if (C.Outstanding != 0 || Now < C.NotBefore || Now < Budget_.nextCall())
      continue;
    if (auto Call = wantedCall(Which, Now))
      startCall(Which, *std::move(Call), Now, Out);
  }
}

void LinkCore::startCall(LinkChannel Which, StoreCall Call, TimePoint Now,
                         LinkActions &Out) {
  Budget_.spend(Now);
  ++Calls_;
  Channel &C = channel(Which);
  C.Outstanding = ++LastNumber_;
  C.Deadline = Now + Call.Wait + CallTimeout;
  C.Call = Call;
  if (Which == LinkChannel::Calls)
    Writing_ = !Writes_.empty();
  Out.emplace_back(LinkCall{C.Outstanding, Which, C.Platform, std::move(Call)});
}

TimePoint LinkCore::nextWork(LinkChannel Which) const {
  const Channel &C = Channels_[static_cast<size_t>(Which)];
  if (C.Outstanding != 0)
    return C.Deadline;
  if (!wantedCall(Which, TimePoint::max()))
    return TimePoint::max();
  const TimePoint Earliest = std::max(C.NotBefore, Budget_.nextCall());
  if (Which != LinkChannel::Calls || !Writes_.empty())
    return Earliest;
  return std::max(Earliest, nextRead());
}

TimePoint LinkCore::nextRead() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Key, Wanted] : Wanted_)
    if (Wanted.stale())
      Next = std::min(Next, Wanted.NextRead);
  return Next;
}

TimePoint LinkCore::nextTick() const {
  TimePoint Next = TimePoint::max();
  for (const LinkChannel Which : AllChannels)
    Next = std::min(Next, nextWork(Which));
  return Next;
}

} // namespace dragonflystall
