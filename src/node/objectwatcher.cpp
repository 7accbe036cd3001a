// List and watch calls to the store.
#include "node/objectwatcher.h"

namespace dragonflystall::node {

namespace {

/// A slow store takes a few hundred milliseconds to answer.
constexpr Duration ListTimeout = 2s;
/// Added to the wait of a watch call, at whose end the store answers at the
/// latest.
constexpr Duration WatchMargin = 3s;
/// The wait of a watch whose answer is to name the store's era.
constexpr Duration ProbeWait = 1ms;

} // namespace

void StoreHealth::onAnswer(platform::ObjectKind Kind) {
  if (Up_)
    return;
  Up_ = true;
  Services_.log(LogClass::State, "store-back").text("kind", name(Kind));
}

bool StoreHealth::onEra(platform::ObjectKind Kind, int64_t Era) {
  if (Era <= Era_)
    return Era == Era_;
  Services_.log(LogClass::State, "store-era")
      .text("kind", name(Kind))
      .number("era", Era)
      .number("before", Era_);
  Era_ = Era;
  return true;
}

void StoreHealth::onFailure(platform::ObjectKind Kind, std::string_view Cause) {
  if (!Up_)
    return;
  Up_ = false;
  DownSince_ = Services_.now();
  Services_.log(LogClass::State, "store-lost")
      .text("kind", name(Kind))
      .text("cause", Cause);
}

void StoreCallCounter::count(platform::ObjectKind Kind, std::string_view Call,
                             platform::Consistency Level) {
  Services_.Counts
      .counter({"dragonflystall_store_calls_total",
                "Calls to the store by kind of object, call and consistency.",
                fmt::format("kind=\"{}\",call=\"{}\",consistency=\"{}\"",
                            name(Kind), Call, name(Level))})
      .add();
}

ObjectWatcher::ObjectWatcher(Services &Shared, StoreHealth &Health,
                             const WatchSettings &Watching,
                             platform::ObjectKind Kind, Callbacks Notify)
    : Services_(Shared), Health_(Health), Kind_(Kind), Calls_(Shared),
      WatchWait_(opaque::StoreWatch::watchWait(Watching.History)),
      WatchConsistency_(Watching.Level), Callbacks_(std::move(Notify)),
      Channel_(Shared.Base.get(), Watching.Store), Watch_(Shared.Rng()) {}

void ObjectWatcher::poll(TimePoint Now) {
  if (Watch_.isOfAnotherEra(Health_.era()))
    restart(WatchConsistency_);
  const auto Due = Watch_.next(Now);
  if (!Due)
    return;
  if (Due->WatchFrom) {
    const Duration Wait = Due->IsProbe ? ProbeWait : WatchWait_;
    Calls_.count(Kind_, "watch", WatchConsistency_);
    Channel_.request(
        platform::watchCall(Kind_, *Due->WatchFrom, Wait, WatchConsistency_),
        Wait + WatchMargin,
        [this](const Answer &Result) { onWatchAnswer(Result); });
    return;
  }
  Calls_.count(Kind_, "list", ListConsistency_);
  Channel_.request(platform::listCall(Kind_, Due->AfterName, ListConsistency_),
                   ListTimeout,
                   [this](const Answer &Result) { onListAnswer(Result); });
}

void ObjectWatcher::setConsistency(platform::Consistency Level) {
  if (Level == std::exchange(WatchConsistency_, Level) ||
      Level == platform::Consistency::Serializable || !Watch_.isWatching())
    return;
  // It could deliver changes seconds late until it ends.
  Channel_.abandon();
  Watch_.onAbandoned();
  poll(Services_.now());
}

void ObjectWatcher::restart(platform::Consistency ListConsistency) {
  ListConsistency_ = ListConsistency;
  Channel_.abandon();
  Watch_.restart();
}

void ObjectWatcher::onFailure(std::string_view Cause) {
  Health_.onFailure(Kind_, Cause);
  Watch_.onFailure(Services_.now());
  // What the present one delivers next may be the answer to this call.
  Channel_.replaceConnection();
}

bool ObjectWatcher::isOfSameEra(const HttpResponse &Response) {
  const int64_t Era = platform::storeEraOf(Response);
  if (!Health_.onEra(Kind_, Era)) {
    onFailure("the answer is of an earlier era of the store");
    return false;
  }
  if (!Watch_.isOfAnotherEra(Era))
    return true;
  ListConsistency_ = WatchConsistency_;
  Watch_.restart();
  return false;
}

bool ObjectWatcher::belongsToCall(const HttpResponse &Response,
                                  int64_t Revision) {
  const bool IsLinearizable =
      ListConsistency_ == platform::Consistency::Linearizable;
  // The first answer on a connection is that to its first call, whatever
  // revision it names: a serializable watch may be answered by a part of the
  // store that is behind.
  if (Response.IsFirstOnConnection ||
      Watch_.mayBeAnswer({Health_.era(), Revision}, IsLinearizable))
    return true;
  Services_.Counts
      .counter({"dragonflystall_store_answers_refused_total",
                "Answers of the store that are those to an earlier call.",
                fmt::format("kind=\"{}\"", name(Kind_))})
      .add();
  Services_.log(LogClass::State, "store-answer-refused")
      .text("kind", name(Kind_))
      .number("revision", Revision)
      .number("watched_from", Watch_.revision().Number)
      .number("era", Health_.era());
  onFailure("the answer is that to an earlier call");
  return false;
}

void ObjectWatcher::dropOutdated(std::vector<platform::Change> &Events) {
  const size_t Dropped =
      std::erase_if(Events, [this](const platform::Change &Event) {
        return !Watch_.asksFor(Event.Item.Revision);
      });
  if (Dropped == 0)
    return;
  Services_.Counts
      .counter({"dragonflystall_store_events_outdated_total",
                "Events of the store that were read before.",
                fmt::format("kind=\"{}\"", name(Kind_))})
      .add(Dropped);
  Services_.log(LogClass::State, "store-events-outdated")
      .text("kind", name(Kind_))
      .number("count", Dropped)
      .number("watched_from", Watch_.revision().Number)
      .number("era", Health_.era());
  // The answer is that to an earlier watch, or a copy of it: the answer to this
  // one may still come.
  Channel_.replaceConnection();
}

void ObjectWatcher::countSkipped(size_t Objects) {
  if (Objects == 0)
    return;
  Services_.Counts
      .counter({"dragonflystall_store_objects_skipped_total",
                "Objects of the store without a readable name or revision.",
                fmt::format("kind=\"{}\"", name(Kind_))})
      .add(Objects);
  Services_.log(LogClass::Notable, "store-objects-skipped")
      .text("kind", name(Kind_))
      .number("count", Objects);
}

void ObjectWatcher::onListAnswer(const Answer &Result) {
  if (!Result)
    return onFailure(Result.error().Text);
  if (!isOfSameEra(*Result))
    return;
  if (Result->Status != HttpStatus::Ok)
    return onFailure(fmt::format("HTTP status {}", Result->Status));
  const auto Page = platform::decodePage(Result->Body);
  if (!Page)
    return onFailure("malformed list in the store's answer");
  const std::string Last =
      Page->Objects.empty() ? std::string() : Page->Objects.back().Name;
  if (Page->Truncated && !Watch_.advances(Last))
    return onFailure("a page of the store's list does not advance");
  if (!belongsToCall(*Result, Page->Revision))
    return;
  Health_.onAnswer(Kind_);
  countSkipped(Page->Skipped);
  const bool First = Watch_.isAtFirstPage();
  Watch_.onPage({Health_.era(), Page->Revision}, Page->Truncated, Last);
  Callbacks_.OnPage(*Page, First);
  if (Watch_.listed()) {
    ListConsistency_ = platform::Consistency::Serializable;
    if (Callbacks_.OnListed)
      Callbacks_.OnListed();
  }
  poll(Services_.now());
}

void ObjectWatcher::onWatchAnswer(const Answer &Result) {
  if (!Result) {
    onFailure(Result.error().Text);
    // The watch would fail again; a list comes in pages.
    if (Result.error().IsTooLong)
      Watch_.restart();
    return;
  }
  if (!isOfSameEra(*Result))
    return;
  if (Result->Status == HttpStatus::Gone) {
    Services_.log(LogClass::State, "watch-history-gone")
        .text("kind", name(Kind_))
        .number("revision", Watch_.revision().Number)
        .number("era", Health_.era());
    ListConsistency_ = platform::Consistency::Linearizable;
    Watch_.restart();
    return;
  }
  if (Result->Status != HttpStatus::Ok)
    return onFailure(fmt::format("HTTP status {}", Result->Status));
  auto Changes = platform::decodeChanges(Result->Body);
  if (!Changes)
    return onFailure("malformed changes in the store's answer");
  if (!belongsToCall(*Result, Changes->Revision))
    return;
  Health_.onAnswer(Kind_);
  countSkipped(Changes->Skipped);
  dropOutdated(Changes->Events);
  Watch_.onEvents({Health_.era(), Changes->Revision}, Services_.now());
  Callbacks_.OnChanges(*Changes);
}

} // namespace dragonflystall::node
