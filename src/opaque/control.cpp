// CBOR encoding of control messages: an array of the kind, followed by the
// fields in the order of the structs. Fields that were added later come last,
// so that processes of earlier versions can read the rest.
#include "opaque/control.h"

#include "types/jsoninput.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <xxhash.h>

namespace dragonflystall::opaque {

namespace {

using Json = nlohmann::json;

enum class Kind : uint8_t { Ping = 1, Pong, Find, Located, Hello };

Json toJson(Endpoint Address) {
  return uint64_t{Address.Ip} << 16 | Address.Port;
}
Json toJson(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}
/// Rounds to a number that CBOR encodes in five bytes rather than nine.
Json toJson(double Amount) {
  constexpr double Most = std::numeric_limits<float>::max();
  if (!std::isfinite(Amount))
    return Amount;
  return static_cast<double>(static_cast<float>(std::min(Amount, Most)));
}
Json toJson(const ConfigVersions &Versions) {
  Json Fields = {Versions.ManifestVersion, Versions.EvacuationRevision.Number,
                 Versions.EvacuatedZones, Versions.EvacuationRevision.Era};
  for (const StoreRevision &Past : Versions.PastRevisions) {
    Fields.push_back(Past.Era);
    Fields.push_back(Past.Number);
  }
  return Fields;
}
Json toJson(const AgentEntry &Entry) {
  return {Entry.Name, Entry.Service, Entry.Zone, toJson(Entry.Packets),
          toJson(Entry.Control)};
}
Json toJson(const Ping &Message) {
  return {Kind::Ping,
          Message.Name,
          Message.Number,
          toJson(Message.Versions),
          Message.MissingAsOf.Number,
          toJson(Message.Http),
          Message.NewestEntry.Number,
          Message.MissingAsOf.Era,
          Message.NewestEntry.Era,
          static_cast<int>(Message.Sender.ReadsStore),
          Message.Sender.Zone,
          Message.ListedEntry,
          Message.ListedRevision.Number,
          Message.ListedRevision.Era};
}
Json toJson(const Pong &Message) {
  return {Kind::Pong,
          Message.Name,
          Message.Service,
          Message.Number,
          toJson(Message.Versions),
          Message.State,
          toJson(Message.ColdFor),
          Message.Slots,
          Message.OpenFlows,
          toJson(Message.Busy),
          toJson(Message.FailureShare),
          toJson(Message.Http),
          Message.Rank,
          toJson(Message.WorkTime),
          toJson(Message.RequestRate)};
}
Json toJson(const Find &F) {
  return {Kind::Find, toJson(F.Flow.Caller), toJson(F.Flow.Route)};
}
Json toJson(const Located &Message) {
  return {Kind::Located,
          Message.Name,
          toJson(Message.Flow.Caller),
          toJson(Message.Flow.Route),
          Message.Verdict,
          Message.NewestEntry.Number,
          Message.NewestEntry.Era,
          Message.NewestManifest,
          Message.SettledEra};
}
Json toJson(const Hello &H) { return {Kind::Hello, toJson(H.Entry)}; }

/// Reads the elements of an array in order; throws Json::exception if a field
/// is missing or has the wrong type.
class Reader {
public:
  explicit Reader(const Json &Array) : Array_(Array) {}

  /// Reads a name. CBOR strings may have any bytes, but names are written to
  /// peers and to the store as JSON.
  std::string name() {
    const auto &Text = next().get_ref<const std::string &>();
    if (Text.size() > MaxNameBytes || !isUtf8(Text))
      throw Json::other_error::create(501, "not a name", nullptr);
    return Text;
  }
  const Json &next() { return Array_.at(Index_++); }
  /// Reads a non-negative integer within the range of T.
  template <typename T> T number() {
    const Json &Value = next();
    if (!Value.is_number_integer())
      throw Json::type_error::create(302, "field is not an integer", nullptr);
    const auto Wide = Value.get<int64_t>();
    if (Wide < 0 || static_cast<uint64_t>(Wide) > std::numeric_limits<T>::max())
      throw Json::out_of_range::create(406, "number out of range", nullptr);
    return static_cast<T>(Wide);
  }
  /// Reads a finite number that is not negative.
  double amount() {
    const double Value = next().get<double>();
    if (!std::isfinite(Value) || Value < 0)
      throw Json::out_of_range::create(406, "number out of range", nullptr);
    return Value;
  }
  bool atEnd() const { return Index_ >= Array_.size(); }
  Endpoint endpoint() {
    const auto Packed = number<int64_t>();
    if (Packed >> 48)
      throw Json::out_of_range::create(406, "address exceeds 48 bits", nullptr);
    return {static_cast<uint32_t>(Packed >> 16), static_cast<uint16_t>(Packed)};
  }
  ConfigVersions versions() {
    Reader Fields(next());
    ConfigVersions Versions;
    Versions.ManifestVersion = Fields.number<int64_t>();
    Versions.EvacuationRevision.Number = Fields.number<int64_t>();
    Versions.EvacuatedZones = Fields.number<uint32_t>();
    // Processes of earlier versions know no eras and hold no zones.
    if (!Fields.atEnd())
      Versions.EvacuationRevision.Era = Fields.number<int64_t>();
    while (!Fields.atEnd()) {
      const auto Era = Fields.number<int64_t>();
      Versions.PastRevisions.push_back({Era, Fields.number<int64_t>()});
    }
    return Versions;
  }
  AgentEntry entry() {
    Reader Fields(next());
    AgentEntry Entry;
    Entry.Name = Fields.name();
    Entry.Service = Fields.name();
    Entry.Zone = Fields.name();
    Entry.Packets = Fields.endpoint();
    Entry.Control = Fields.endpoint();
    return Entry;
  }

private:
  const Json &Array_;
  size_t Index_ = 0;
};

Ping readPing(Reader &Fields) {
  Ping Message;
  Message.Name = Fields.name();
  Message.Number = Fields.number<int64_t>();
  Message.Versions = Fields.versions();
  Message.MissingAsOf.Number = Fields.number<int64_t>();
  Message.Http = Fields.endpoint();
  // Balancers of earlier versions do not report what follows.
  if (!Fields.atEnd())
    Message.NewestEntry.Number = Fields.number<int64_t>();
  if (!Fields.atEnd()) {
    Message.MissingAsOf.Era = Fields.number<int64_t>();
    Message.NewestEntry.Era = Fields.number<int64_t>();
  }
  if (!Fields.atEnd()) {
    Message.Sender.ReadsStore = Fields.number<uint8_t>() != 0;
    Message.Sender.Zone = Fields.number<uint32_t>();
  }
  if (!Fields.atEnd()) {
    Message.ListedEntry = Fields.number<uint32_t>();
    Message.ListedRevision.Number = Fields.number<int64_t>();
    Message.ListedRevision.Era = Fields.number<int64_t>();
  }
  return Message;
}

Pong readPong(Reader &Fields) {
  Pong Message;
  Message.Name = Fields.name();
  Message.Service = Fields.name();
  Message.Number = Fields.number<int64_t>();
  Message.Versions = Fields.versions();
  const auto State = Fields.number<uint8_t>();
  if (State >= IntakeNames.size())
    throw Json::out_of_range::create(406, "unknown intake state", nullptr);
  Message.State = static_cast<Intake>(State);
  Message.ColdFor = std::chrono::milliseconds(Fields.number<uint32_t>());
  Message.Slots = std::max<uint32_t>(1, Fields.number<uint32_t>());
  Message.OpenFlows = Fields.number<uint32_t>();
  Message.Busy = Fields.amount();
  Message.FailureShare = Fields.amount();
  Message.Http = Fields.endpoint();
  // Agents of earlier versions report no rank.
  if (!Fields.atEnd())
    Message.Rank = Fields.number<uint32_t>();
  if (!Fields.atEnd()) {
    Message.WorkTime = std::chrono::milliseconds(Fields.number<uint32_t>());
    Message.RequestRate = Fields.amount();
  }
  return Message;
}

FlowId readFlow(Reader &Fields) {
  FlowId Flow;
  Flow.Caller = Fields.endpoint();
  Flow.Route = Fields.endpoint();
  return Flow;
}

Located readLocated(Reader &Fields) {
  Located Message;
  Message.Name = Fields.name();
  Message.Flow = readFlow(Fields);
  const auto Verdict = Fields.number<uint8_t>();
  if (Verdict >= HoldingNames.size())
    throw Json::out_of_range::create(406, "unknown holding verdict", nullptr);
  Message.Verdict = static_cast<Holding>(Verdict);
  // Agents of earlier versions do not report what follows.
  if (!Fields.atEnd())
    Message.NewestEntry.Number = Fields.number<int64_t>();
  if (!Fields.atEnd()) {
    Message.NewestEntry.Era = Fields.number<int64_t>();
    Message.NewestManifest = Fields.number<int64_t>();
  }
  if (!Fields.atEnd())
    Message.SettledEra = Fields.number<int64_t>();
  return Message;
}

} // namespace

uint32_t hashOf(const AgentEntry &Entry) {
  const std::string Fields = toJson(Entry).dump();
  return std::max<uint32_t>(
      1, static_cast<uint32_t>(XXH3_64bits(Fields.data(), Fields.size())));
}

ConfigVersions configVersionsOf(const Configuration &Config) {
  ConfigVersions Versions;
  Versions.ManifestVersion = Config.manifest().Version;
  Versions.EvacuationRevision = Config.evacuations().revision();
  for (const std::string &Zone : Config.evacuations().zones())
    Versions.EvacuatedZones ^= static_cast<uint32_t>(agentId(Zone));
  Versions.PastRevisions = Config.evacuations().pastRevisions();
  return Versions;
}

/// Whether the other process has read more of some past era of the store.
static bool knowsLessOfPast(const ConfigVersions &Ours,
                            const ConfigVersions &Theirs) {
  const auto IsKnown = [&](StoreRevision Past) {
    return std::any_of(Ours.PastRevisions.begin(), Ours.PastRevisions.end(),
                       [&](StoreRevision Known) {
                         return Known.Era == Past.Era &&
                                Known.Number >= Past.Number;
                       });
  };
  return !std::all_of(Theirs.PastRevisions.begin(), Theirs.PastRevisions.end(),
                      IsKnown);
}

bool isBehind(const ConfigVersions &Ours, const ConfigVersions &Theirs) {
  if (Theirs.ManifestVersion > Ours.ManifestVersion)
    return true;
  // The store does not tell of the zones that are held.
  const bool MayKnowMore =
      Theirs.EvacuationRevision > Ours.EvacuationRevision ||
      knowsLessOfPast(Ours, Theirs);
  return MayKnowMore && Theirs.EvacuatedZones != Ours.EvacuatedZones;
}

std::string encode(const ControlMessage &Message) {
  std::string Bytes;
  Json::to_cbor(std::visit([](const auto &M) { return toJson(M); }, Message),
                Bytes);
  return Bytes;
}

std::optional<ControlMessage> decodeControl(std::string_view Bytes) {
  // Also bounds the depth, as each array takes a byte.
  if (Bytes.size() > MaxControlBytes)
    return std::nullopt;
  try {
    const Json Array =
        Json::from_cbor(Bytes.begin(), Bytes.end(), /*strict=*/true,
                        /*allow_exceptions=*/false);
    if (!Array.is_array())
      return std::nullopt;
    Reader Fields(Array);
    switch (static_cast<Kind>(Fields.number<uint8_t>())) {
    case Kind::Ping:
      return readPing(Fields);
    case Kind::Pong:
      return readPong(Fields);
    case Kind::Find:
      return Find{readFlow(Fields)};
    case Kind::Located:
      return readLocated(Fields);
    case Kind::Hello:
      return Hello{Fields.entry()};
    }
  } catch (const Json::exception &) {
    // The datagram is not a valid control message; the caller of this function
    // counts it as malformed.
  }
  return std::nullopt;
}

} // namespace dragonflystall::opaque
