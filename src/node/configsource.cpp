// The configuration from the store and from peers.
#include "node/configsource.h"

namespace dragonflystall::node {

namespace {

/// The store tells everybody at about the same time: wait for it before a peer
/// is asked.
constexpr Duration BehindFor = 300ms;
/// How long a start waits for the store before it asks a seed.
constexpr Duration SeedAfter = 400ms;
/// How long a start goes on asking when the store has answered.
constexpr Duration AskSeedsFor = 3s;
constexpr Duration FetchInterval = 500ms;
constexpr Duration FetchTimeout = 1s;

} // namespace

ConfigSource::ConfigSource(Services &Shared, StoreHealth &Health,
                           ConfigSources From, Handler OnNews)
    : Shared_(Shared), From_(std::move(From)), OnNews_(std::move(OnNews)),
      Manifests_(Shared, Health, From_.Store, platform::ObjectKind::Manifest,
                 From_.Watches,
                 {[this](const platform::Page &P, bool) {
                    onManifests(P.Objects, "store");
                  },
                  nullptr,
                  [this](const platform::Changes &C) {
                    std::vector<platform::Object> Objects;
                    for (const platform::Change &Event : C.Events)
                      if (!Event.Removed)
                        Objects.push_back(Event.What);
                    onManifests(Objects, "store");
                  }}),
      Evacuations_(
          Shared, Health, From_.Store, platform::ObjectKind::Evacuation,
          From_.Watches,
          {[this](const platform::Page &P, bool First) {
             if (First)
               ListedZones_.clear();
             for (const platform::Object &O : P.Objects)
               ListedZones_.insert(O.Name);
           },
           [this] {
             offerEvacuations({Evacuations_.revision(), ListedZones_}, "store");
           },
           [this](const platform::Changes &C) {
             for (const platform::Change &Event : C.Events)
               if (Event.Removed)
                 ListedZones_.erase(Event.What.Name);
               else
                 ListedZones_.insert(Event.What.Name);
             offerEvacuations({C.Revision, ListedZones_}, "store");
           }}),
      StartedAt_(Shared.now()) {}

void ConfigSource::poll(TimePoint Now) {
  Manifests_.poll(Now);
  Evacuations_.poll(Now);
  if (seedsDue(Now) && Now >= NextFetch_)
    fetch(From_.Seeds[NextSeed_++ % From_.Seeds.size()], Now);
}

bool ConfigSource::seedsDue(TimePoint Now) const {
  if (From_.Seeds.empty())
    return false;
  const Duration Age = Now - StartedAt_;
  if (From_.AlwaysAskSeeds && !PeerAnswered_ && Age < AskSeedsFor)
    return true;
  return !complete() && Age >= SeedAfter;
}

void ConfigSource::onManifests(const std::vector<platform::Object> &Objects,
                               std::string_view From) {
  for (const platform::Object &O : Objects)
    offerManifest(O.Content, From);
}

bool ConfigSource::offerManifest(const std::string &Content,
                                 std::string_view From) {
  auto Newer = platform::decodeManifest(Content);
  if (!Newer) {
    Shared_.log(LogClass::State, "manifest-unreadable").text("from", From);
    return false;
  }
  const int64_t Before = Config_.manifest().Version;
  if (!Config_.offer(std::move(*Newer)))
    return false;
  ManifestContent_ = Content;
  Shared_.log(LogClass::State, "manifest")
      .text("from", From)
      .number("version", Config_.manifest().Version)
      .number("before", Before)
      .number("routes", Config_.manifest().Routes.size());
  OnNews_.OnManifest();
  return true;
}

void ConfigSource::offerEvacuations(opaque::Evacuations Newer,
                                    std::string_view From) {
  EvacuationsKnown_ = true;
  if (!Config_.offer(std::move(Newer)))
    return;
  Shared_.log(LogClass::State, "evacuations")
      .text("from", From)
      .text("zones",
            fmt::format("{}", fmt::join(Config_.evacuations().Zones, ",")))
      .number("revision", Config_.evacuations().Revision);
  OnNews_.OnEvacuations();
}

void ConfigSource::onPeerKnows(const opaque::Knowledge &Theirs,
                               Endpoint PeerHttp, TimePoint Now) {
  if (!behind(opaque::knowledgeOf(Config_), Theirs)) {
    BehindSince_.reset();
    return;
  }
  if (!BehindSince_)
    BehindSince_ = Now;
  if (Now - *BehindSince_ >= BehindFor && Now >= NextFetch_)
    fetch(PeerHttp, Now);
}

void ConfigSource::fetch(Endpoint Peer, TimePoint Now) {
  NextFetch_ = Now + FetchInterval;
  if (Peer_ && Peer_->busy())
    return;
  Peer_ = std::make_unique<HttpChannel>(Shared_.Base.get(), Peer);
  Peer_->request({HttpMethod::Get, "/state", {}}, FetchTimeout,
                 [this](const tl::expected<HttpResponse, HttpFailure> &Result) {
                   if (!Result || Result->Status != HttpStatus::Ok) {
                     Shared_.log(LogClass::Notable, "peer-state-failed")
                         .text("peer", toString(Peer_->server()));
                     return;
                   }
                   if (const auto State =
                           platform::decodePeerState(Result->Body))
                     onPeerState(*State);
                 });
}

void ConfigSource::onPeerState(const platform::PeerState &State) {
  PeerAnswered_ = true;
  const bool WasBehind = BehindSince_.has_value();
  BehindSince_.reset();
  const int64_t Revision = Config_.evacuations().Revision;
  const bool NewManifest = !State.ManifestContent.empty() &&
                           offerManifest(State.ManifestContent, "peer");
  if (State.Evacuations.Revision > 0)
    offerEvacuations(State.Evacuations, "peer");
  if (OnNews_.OnAgents)
    OnNews_.OnAgents(State.Agents);
  // Our own watches should have told us: they no longer do.
  if (WasBehind && NewManifest && Manifests_.listed())
    Manifests_.restart();
  if (WasBehind && Config_.evacuations().Revision > Revision &&
      Evacuations_.listed())
    Evacuations_.restart();
}

} // namespace dragonflystall::node
