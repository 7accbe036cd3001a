// CBOR encoding of control messages: an array of the kind, followed by the
// fields in the order of the structs.
#include "opaque/control.h"

#include <nlohmann/json.hpp>

namespace dragonflystall::opaque {

namespace {

using Json = nlohmann::json;

enum class Kind : uint8_t { Ping = 1, Pong, Find, Located, Hello };

Json toJson(Endpoint E) { return uint64_t{E.Ip} << 16 | E.Port; }
Json toJson(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}
Json toJson(const Knowledge &K) {
  return {K.ManifestVersion, K.EvacuationRevision, K.EvacuatedZones};
}
Json toJson(const AgentEntry &E) {
  return {E.Name, E.Service, E.Zone, toJson(E.Packets), toJson(E.Control)};
}
Json toJson(const Ping &P) {
  return {Kind::Ping,      P.Name,        P.Number,
          toJson(P.Knows), P.MissingAsOf, toJson(P.Http)};
}
Json toJson(const Pong &P) {
  return {Kind::Pong,      P.Name,  P.Service,         P.Number,
          toJson(P.Knows), P.State, toJson(P.ColdFor), P.Slots,
          P.OpenFlows,     P.Busy,  P.Failing,         toJson(P.Http)};
}
Json toJson(const Find &F) {
  return {Kind::Find, toJson(F.Flow.Caller), toJson(F.Flow.Route)};
}
Json toJson(const Located &L) {
  return {Kind::Located, L.Name, toJson(L.Flow.Caller), toJson(L.Flow.Route),
          L.Verdict};
}
Json toJson(const Hello &H) { return {Kind::Hello, toJson(H.Entry)}; }

/// Reads the elements of an array in order; throws Json::exception if a field
/// is missing or has the wrong type.
class Reader {
public:
  explicit Reader(const Json &Array) : Array_(Array) {}

  std::string text() { return next().get_ref<const std::string &>(); }
  const Json &next() { return Array_.at(At_++); }
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
  Endpoint endpoint() {
    const auto Packed = number<int64_t>();
    if (Packed >> 48)
      throw Json::out_of_range::create(406, "address exceeds 48 bits", nullptr);
    return {static_cast<uint32_t>(Packed >> 16), static_cast<uint16_t>(Packed)};
  }
  Knowledge knowledge() {
    Reader R(next());
    Knowledge K;
    K.ManifestVersion = R.number<int64_t>();
    K.EvacuationRevision = R.number<int64_t>();
    K.EvacuatedZones = R.number<uint32_t>();
    return K;
  }
  AgentEntry entry() {
    Reader R(next());
    AgentEntry E;
    E.Name = R.text();
    E.Service = R.text();
    E.Zone = R.text();
    E.Packets = R.endpoint();
    E.Control = R.endpoint();
    return E;
  }

private:
  const Json &Array_;
  size_t At_ = 0;
};

Ping readPing(Reader &R) {
  Ping P;
  P.Name = R.text();
  P.Number = R.number<int64_t>();
  P.Knows = R.knowledge();
  P.MissingAsOf = R.number<int64_t>();
  P.Http = R.endpoint();
  return P;
}

Pong readPong(Reader &R) {
  Pong P;
  P.Name = R.text();
  P.Service = R.text();
  P.Number = R.number<int64_t>();
  P.Knows = R.knowledge();
  const auto State = R.number<uint8_t>();
  if (State >= IntakeNames.size())
    throw Json::out_of_range::create(406, "unknown intake state", nullptr);
  P.State = static_cast<Intake>(State);
  P.ColdFor = std::chrono::milliseconds(R.number<uint32_t>());
  P.Slots = std::max<uint32_t>(1, R.number<uint32_t>());
  P.OpenFlows = R.number<uint32_t>();
  P.Busy = R.next().get<double>();
  P.Failing = R.next().get<double>();
  P.Http = R.endpoint();
  return P;
}

FlowId readFlow(Reader &R) {
  FlowId Flow;
  Flow.Caller = R.endpoint();
  Flow.Route = R.endpoint();
  return Flow;
}

Located readLocated(Reader &R) {
  Located L;
  L.Name = R.text();
  L.Flow = readFlow(R);
  const auto Verdict = R.number<uint8_t>();
  if (Verdict >= HoldingNames.size())
    throw Json::out_of_range::create(406, "unknown holding verdict", nullptr);
  L.Verdict = static_cast<Holding>(Verdict);
  return L;
}

} // namespace

Knowledge knowledgeOf(const Configuration &Config) {
  Knowledge K;
  K.ManifestVersion = Config.manifest().Version;
  K.EvacuationRevision = Config.evacuations().Revision;
  for (const std::string &Zone : Config.evacuations().Zones)
    K.EvacuatedZones ^= static_cast<uint32_t>(agentId(Zone));
  return K;
}

bool behind(const Knowledge &Ours, const Knowledge &Theirs) {
  return Theirs.ManifestVersion > Ours.ManifestVersion ||
         (Theirs.EvacuationRevision > Ours.EvacuationRevision &&
          Theirs.EvacuatedZones != Ours.EvacuatedZones);
}

std::string encode(const ControlMessage &Message) {
  std::string Bytes;
  Json::to_cbor(std::visit([](const auto &M) { return toJson(M); }, Message),
                Bytes);
  return Bytes;
}

std::optional<ControlMessage> decodeControl(std::string_view Bytes) {
  try {
    const Json Array =
        Json::from_cbor(Bytes.begin(), Bytes.end(), /*strict=*/true,
                        /*allow_exceptions=*/false);
    if (!Array.is_array())
      return std::nullopt;
    Reader R(Array);
    switch (static_cast<Kind>(R.number<uint8_t>())) {
    case Kind::Ping:
      return readPing(R);
    case Kind::Pong:
      return readPong(R);
    case Kind::Find:
      return Find{readFlow(R)};
    case Kind::Located:
      return readLocated(R);
    case Kind::Hello:
      return Hello{R.entry()};
    }
  } catch (const Json::exception &) {
    // The datagram is not a valid control message; the caller of this function
    // counts it as malformed.
  }
  return std::nullopt;
}

} // namespace dragonflystall::opaque
