// Fetches the configuration from the store and from peers.
#include "node/configsource.h"

namespace dragonflystall::node {

namespace {

/// How long a starting process waits for the store before it fetches the state
/// of a seed.
constexpr Duration SeedFetchDelay = 400ms;
/// How long a starting process tries to fetch the state of a seed although the
/// store has answered (AlwaysFetchFromSeeds).
constexpr Duration SeedFetchPeriod = 3s;
constexpr Duration SeedFetchInterval = 500ms;
constexpr Duration FetchTimeout = 1s;

constexpr std::array<std::string_view, 3> SourceNames = {"list", "watch",
                                                         "peer"};

} // namespace

ConfigSource::ConfigSource(Services &Shared, StoreHealth &Health,
                           ConfigSources Sources, Callbacks Notify)
    : Services_(Shared), Health_(Health), Sources_(std::move(Sources)),
      Callbacks_(std::move(Notify)), Config_(Sources_.MaxFlowAge),
      Manifests_(Shared, Health, Sources_.Watching,
                 platform::ObjectKind::Manifest,
                 {[this](const platform::Page &P, bool) {
                    onManifests(P.Objects, Source::List);
                  },
                  nullptr,
                  [this](const platform::Changes &C) {
                    std::vector<platform::Object> Objects;
                    for (const platform::Change &Event : C.Events)
                      if (!Event.Removed)
                        Objects.push_back(Event.Item);
                    onManifests(Objects, Source::Watch);
                  }}),
      Evacuations_(Shared, Health, Sources_.Watching,
                   platform::ObjectKind::Evacuation,
                   {[this](const platform::Page &P, bool First) {
                      if (First)
                        ListedZones_.clear();
                      for (const platform::Object &O : P.Objects)
                        ListedZones_.insert(O.Name);
                    },
                    [this] { onListedZones(); },
                    [this](const platform::Changes &C) {
                      for (const platform::Change &Event : C.Events)
                        if (Event.Removed)
                          ListedZones_.erase(Event.Item.Name);
                        else
                          ListedZones_.insert(Event.Item.Name);
                      onListedZones();
                    }}),
      ManifestLag_(Sources_.MaxWatchLag), EvacuationLag_(Sources_.MaxWatchLag),
      StartedAt_(Shared.now()) {
  if (Sources_.FirstStart)
    Config_.history().onFirstStart(StartedAt_);
}

void ConfigSource::poll(TimePoint Now) {
  Manifests_.poll(Now);
  Evacuations_.poll(Now);
  if (Config_.evacuations().expire(Now, Health_.up()))
    onEvacuationsChanged("hold");
  if (isSeedFetchDue(Now) && Now >= NextSeedFetch_)
    fetchFromSeed(Now);
  catchUp(Now);
  replaceOverdueWatches(Now);
}

void ConfigSource::logHistory(const opaque::RouteHistoryState &Theirs,
                              int64_t TheirManifest, Endpoint Peer) {
  const TimePoint Now = Services_.now();
  const opaque::RouteHistoryState Ours = Config_.history().state(Now);
  auto Line = Services_.log(LogClass::State, "route-history");
  Line.text("peer", toString(Peer))
      .number("peer_manifest", TheirManifest)
      .number("manifest", Config_.manifest().Version)
      .number("peer_former", Theirs.Former.size())
      .number("former", Ours.Former.size())
      .number("complete", Config_.history().isComplete(Now));
  if (Theirs.Span)
    Line.age("peer_span_ms", *Theirs.Span);
  if (Ours.Span)
    Line.age("span_ms", *Ours.Span);
}

bool ConfigSource::isSeedFetchDue(TimePoint Now) const {
  if (Sources_.Seeds.empty())
    return false;
  const Duration Age = Now - StartedAt_;
  if (Sources_.AlwaysFetchFromSeeds && Age < SeedFetchPeriod &&
      maySeedsKnowMore(Now))
    return true;
  return !complete() && Age >= SeedFetchDelay;
}

bool ConfigSource::maySeedsKnowMore(TimePoint Now) const {
  // A seed may have just started, too, and know nothing: ask each of them.
  const bool IsInformed = AgentsKnown_ && Config_.history().isComplete(Now);
  return !IsInformed && SeedAnswers_ < Sources_.Seeds.size();
}

void ConfigSource::onManifests(const std::vector<platform::Object> &Objects,
                               Source From) {
  const auto Continuity = From == Source::Watch ? opaque::Continuity::Unbroken
                                                : opaque::Continuity::Gap;
  for (const platform::Object &O : Objects) {
    if (O.Name != platform::ManifestName)
      continue;
    auto Newer = readManifest(O.Content, From);
    if (!Newer)
      continue;
    const int64_t Before = Config_.manifest().Version;
    ManifestLag_.onDelivered(Newer->Version, Before, Services_.now());
    if (Config_.offer(std::move(*Newer), Continuity, Services_.now()))
      onManifestTaken(O.Content, From, Before);
  }
}

std::optional<opaque::Manifest>
ConfigSource::readManifest(const std::string &Content, Source From) {
  auto Decoded = platform::decodeManifest(Content);
  if (Decoded)
    return std::move(*Decoded);
  Services_.log(LogClass::State, "manifest-refused")
      .text("from", SourceNames[static_cast<size_t>(From)])
      .text("error", Decoded.error())
      .number("version", Config_.manifest().Version);
  return std::nullopt;
}

void ConfigSource::onManifestTaken(const std::string &Content, Source From,
                                   int64_t Before) {
  ManifestContent_ = Content;
  Services_.log(LogClass::State, "manifest")
      .text("from", SourceNames[static_cast<size_t>(From)])
      .number("version", Config_.manifest().Version)
      .number("before", Before)
      .number("routes", Config_.manifest().Routes.size());
  Callbacks_.OnManifest();
}

void ConfigSource::offerManifestOfPeer(const PeerState &State, Endpoint Peer) {
  if (State.ManifestContent.empty())
    return;
  auto Theirs = readManifest(State.ManifestContent, Source::Peer);
  if (!Theirs)
    return;
  const int64_t TheirVersion = Theirs->Version;
  const int64_t Before = Config_.manifest().Version;
  const bool Taken =
      Config_.offerOfPeer(std::move(*Theirs), State.History, Services_.now());
  if (Taken)
    onManifestTaken(State.ManifestContent, Source::Peer, Before);
  logHistory(State.History, TheirVersion, Peer);
}

void ConfigSource::onListedZones() {
  EvacuationLag_.onDelivered(Evacuations_.revision(),
                             Config_.evacuations().revision(), Services_.now());
  offerEvacuations({Evacuations_.revision(), ListedZones_}, "store");
}

void ConfigSource::offerEvacuations(const opaque::Evacuations &Newer,
                                    std::string_view From) {
  const bool WereKnown = Config_.knowsEvacuations();
  if (Config_.evacuations().offer(Newer, Services_.now()) || !WereKnown)
    onEvacuationsChanged(From);
}

void ConfigSource::onEvacuationsChanged(std::string_view From) {
  Services_.log(LogClass::State, "evacuations")
      .text("from", From)
      .text("zones",
            fmt::format("{}", fmt::join(Config_.evacuations().zones(), ",")))
      .number("revision", Config_.evacuations().revision().Number)
      .number("era", Config_.evacuations().revision().Era);
  Callbacks_.OnEvacuations();
}

void ConfigSource::onPeerVersions(const opaque::ConfigVersions &PeerVersions,
                                  Endpoint PeerHttp, TimePoint Now) {
  CatchUp_.onReport(PeerHttp, PeerVersions, opaque::configVersionsOf(Config_),
                    Now);
  catchUp(Now);
}

void ConfigSource::catchUp(TimePoint Now) {
  if (CatchUp_.isIdle())
    return;
  const auto Peer = CatchUp_.next(opaque::configVersionsOf(Config_), Now);
  if (!Peer)
    return;
  const auto Free = std::find_if(
      CatchUpChannels_.begin(), CatchUpChannels_.end(),
      [](const auto &Channel) { return !Channel || !Channel->busy(); });
  fetch(*Free, *Peer, PeerStateParts::Configuration,
        [this, Peer = *Peer](const std::optional<PeerState> &State) {
          if (!State)
            return CatchUp_.onFailure(Peer, Services_.now());
          const opaque::ConfigVersions Before =
              opaque::configVersionsOf(Config_);
          onPeerState(*State, Peer);
          noteWatchLag(Before);
          CatchUp_.onAnswer(Peer, opaque::configVersionsOf(Config_),
                            Services_.now());
        });
}

void ConfigSource::fetchFromSeed(TimePoint Now) {
  NextSeedFetch_ = Now + SeedFetchInterval;
  if (SeedChannel_ && SeedChannel_->busy())
    return;
  const Endpoint Seed = Sources_.Seeds[NextSeed_++ % Sources_.Seeds.size()];
  fetch(SeedChannel_, Seed, PeerStateParts::All,
        [this, Seed](const std::optional<PeerState> &State) {
          if (State)
            onSeedState(*State, Seed);
        });
}

void ConfigSource::fetch(std::unique_ptr<HttpChannel> &Channel, Endpoint Peer,
                         PeerStateParts Parts, StateHandler OnState) {
  Channel = std::make_unique<HttpChannel>(Services_.Base.get(), Peer);
  Channel->request(peerStateCall(Parts), FetchTimeout,
                   [this, Peer, OnState = std::move(OnState)](
                       const tl::expected<HttpResponse, HttpFailure> &Result) {
                     const bool IsAnswered =
                         Result && Result->Status == HttpStatus::Ok;
                     const auto State = IsAnswered
                                            ? decodePeerState(Result->Body)
                                            : std::nullopt;
                     if (!State)
                       Services_.log(LogClass::Notable, "peer-state-failed")
                           .text("peer", toString(Peer))
                           .number("answered", IsAnswered);
                     else if (State->Skipped > 0)
                       Services_.log(LogClass::Notable, "peer-agents-skipped")
                           .text("peer", toString(Peer))
                           .number("count", State->Skipped);
                     OnState(State);
                   });
}

void ConfigSource::onSeedState(const PeerState &State, Endpoint Seed) {
  ++SeedAnswers_;
  AgentsKnown_ = AgentsKnown_ || State.Agents.IsComplete;
  onPeerState(State, Seed);
  if (Callbacks_.OnAgents)
    Callbacks_.OnAgents(State.Agents);
}

void ConfigSource::onPeerState(const PeerState &State, Endpoint Peer) {
  offerManifestOfPeer(State, Peer);
  if (State.Evacuations.Revision.isSet())
    offerEvacuations(State.Evacuations, "peer");
}

void ConfigSource::noteWatchLag(const opaque::ConfigVersions &Before) {
  const opaque::ConfigVersions After = opaque::configVersionsOf(Config_);
  if (After.ManifestVersion > Before.ManifestVersion)
    ManifestLag_.onPeerAhead(After.ManifestVersion, Services_.now());
  // The revision alone grows with each change of the store, of which a watch of
  // evacuations need not tell.
  if (After.EvacuatedZones != Before.EvacuatedZones)
    EvacuationLag_.onPeerAhead(After.EvacuationRevision, Services_.now());
}

void ConfigSource::replaceOverdueWatches(TimePoint Now) {
  if (ManifestLag_.takeOverdue(Now) && Manifests_.listed())
    Manifests_.restart();
  if (EvacuationLag_.takeOverdue(Now) && Evacuations_.listed())
    Evacuations_.restart();
}

} // namespace dragonflystall::node
