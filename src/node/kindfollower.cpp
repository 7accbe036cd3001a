// Lists and watches of the store.
#include "node/kindfollower.h"

namespace dragonflystall::node {

namespace {

/// A slow store takes a few hundred milliseconds.
constexpr Duration ListTimeout = 2s;
/// A watch answers at the end of its wait at the latest.
constexpr Duration WatchMargin = 3s;

} // namespace

void StoreHealth::onAnswer(platform::ObjectKind Kind) {
  if (Up_)
    return;
  Up_ = true;
  Shared_.log(LogClass::State, "store-back").text("kind", name(Kind));
}

void StoreHealth::onFailure(platform::ObjectKind Kind, std::string_view Why) {
  if (!Up_)
    return;
  Up_ = false;
  Shared_.log(LogClass::State, "store-lost")
      .text("kind", name(Kind))
      .text("cause", Why);
}

KindFollower::KindFollower(Services &Shared, StoreHealth &Health,
                           Endpoint Store, platform::ObjectKind Kind,
                           platform::Consistency Watches, Handler OnNews)
    : Shared_(Shared), Health_(Health), Kind_(Kind), Watches_(Watches),
      OnNews_(std::move(OnNews)), Channel_(Shared.Base.get(), Store),
      Watch_(Shared.Rng()) {}

void KindFollower::poll(TimePoint Now) {
  const auto Due = Watch_.next(Now);
  if (!Due)
    return;
  Health_.onCall();
  if (Due->WatchFrom) {
    Channel_.request(platform::watchCall(Kind_, *Due->WatchFrom,
                                         opaque::StoreWatch::WatchWait,
                                         Watches_),
                     opaque::StoreWatch::WatchWait + WatchMargin,
                     [this](const Answer &Result) { onWatchAnswer(Result); });
    return;
  }
  Channel_.request(platform::listCall(Kind_, Due->After, Lists_), ListTimeout,
                   [this](const Answer &Result) { onListAnswer(Result); });
}

void KindFollower::restart() {
  Lists_ = platform::Consistency::Linearizable;
  Channel_.abandon();
  Watch_.restart();
}

void KindFollower::fail(std::string_view Why) {
  Health_.onFailure(Kind_, Why);
  Watch_.onFailure(Shared_.now());
}

void KindFollower::onListAnswer(const Answer &Result) {
  if (!Result)
    return fail(Result.error().Text);
  if (Result->Status != HttpStatus::Ok)
    return fail(fmt::format("status {}", Result->Status));
  const auto Page = platform::decodePage(Result->Body);
  if (!Page)
    return fail("list cannot be read");
  Health_.onAnswer(Kind_);
  const bool First = Watch_.atFirstPage();
  const std::string Last =
      Page->Objects.empty() ? std::string() : Page->Objects.back().Name;
  Watch_.onPage(Page->Revision, Page->Truncated && !Last.empty(), Last);
  OnNews_.OnPage(*Page, First);
  if (Watch_.listed()) {
    Lists_ = platform::Consistency::Serializable;
    if (OnNews_.OnListed)
      OnNews_.OnListed();
  }
  poll(Shared_.now());
}

void KindFollower::onWatchAnswer(const Answer &Result) {
  if (!Result)
    return fail(Result.error().Text);
  if (Result->Status == HttpStatus::Gone) {
    Shared_.log(LogClass::State, "watch-history-gone")
        .text("kind", name(Kind_))
        .number("revision", Watch_.revision());
    Lists_ = platform::Consistency::Linearizable;
    Watch_.restart();
    return;
  }
  if (Result->Status != HttpStatus::Ok)
    return fail(fmt::format("status {}", Result->Status));
  const auto News = platform::decodeChanges(Result->Body);
  if (!News)
    return fail("changes cannot be read");
  Health_.onAnswer(Kind_);
  Watch_.onEvents(News->Revision);
  OnNews_.OnChanges(*News);
}

} // namespace dragonflystall::node
