// Checks the objects in the order of their versions, which is the order in
// which the platform stored them. An object that conflicts with an accepted
// one is refused.
#include "settings/assemble.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <unordered_map>

namespace dragonflystall {

namespace {

struct EndpointHash {
  size_t operator()(const Endpoint &E) const {
    return ((uint64_t{E.Ip} << 16) | E.Port) * 0x9e3779b97f4a7c15ULL >> 16;
  }
};

/// A value that may come into force. KeyIndex is the position of its key among
/// the entries and identifies the key without string comparisons.
struct Candidate {
  size_t KeyIndex = 0;
  const std::string *Key = nullptr;
  const SettingsObject *Object = nullptr;
  uint64_t version() const { return Object->Stored.Version; }
};

bool overlaps(const Network &A, const Network &B) {
  return A.contains(B.Ip) || B.contains(A.Ip);
}

class Assembler {
public:
  Assembler(const SettingsEntries &Entries, ZoneCheck Zones)
      : Entries_(Entries), Zones_(Zones), Accepted_(Entries.size()) {
    ClaimedAddresses_.reserve(Entries.size());
  }
  Assembly run();

private:
  std::vector<Candidate> candidatesOf(SettingsKind Kind) const;
  void acceptAll(std::vector<Candidate> Candidates);
  bool tryAccept(const Candidate &Proposed);
  SettingErrors conflictsOf(const Candidate &Proposed) const;
  SettingErrors conflictsOf(const Candidate &Proposed,
                            const ZoneSettings &Zone) const;
  SettingErrors conflictsOf(const Candidate &Proposed,
                            const ServiceSettings &Service) const;
  bool isZoneKnown(const std::string &Name, uint64_t ServiceVersion) const;
  void claim(const Candidate &Proposed);
  void release(size_t KeyIndex);
  Assembly collect() const;

  const SettingsEntries &Entries_;
  ZoneCheck Zones_;
  /// The object in force for each key, by KeyIndex; null if there is none.
  std::vector<const SettingsObject *> Accepted_;
  /// The accepted candidate that uses each address and each network.
  std::unordered_map<Endpoint, Candidate, EndpointHash> ClaimedAddresses_;
  std::map<Network, Candidate> ClaimedNetworks_;
  std::set<std::string_view> KnownZones_;
  std::map<std::string, SettingErrors> Refused_;
};

std::vector<Candidate> Assembler::candidatesOf(SettingsKind Kind) const {
  std::vector<Candidate> Candidates;
  Candidates.reserve(Entries_.size());
  size_t KeyIndex = 0;
  const auto Add = [&](const std::string &Key, const SettingsObject &Object) {
    if (Object.Value && Object.Value->index() == static_cast<size_t>(Kind))
      Candidates.push_back({KeyIndex, &Key, &Object});
  };
  for (const auto &[Key, Entry] : Entries_) {
    Add(Key, Entry.Newest);
    if (Entry.Earlier)
      Add(Key, *Entry.Earlier);
    ++KeyIndex;
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &A, const Candidate &B) {
              return A.version() < B.version();
            });
  return Candidates;
}

/// Accepting a candidate may release an address or network because of which
/// another one was refused, so refused candidates are tried again until a pass
/// accepts none.
void Assembler::acceptAll(std::vector<Candidate> Candidates) {
  while (true) {
    std::vector<Candidate> Remaining;
    for (const Candidate &Proposed : Candidates)
      if (!tryAccept(Proposed))
        Remaining.push_back(Proposed);
    if (Remaining.size() == Candidates.size())
      return;
    Candidates = std::move(Remaining);
  }
}

bool Assembler::tryAccept(const Candidate &Proposed) {
  const SettingsObject *InForce = Accepted_[Proposed.KeyIndex];
  if (InForce && InForce->Stored.Version > Proposed.version())
    return true;
  SettingErrors Errors = conflictsOf(Proposed);
  if (!Errors.empty()) {
    Refused_[*Proposed.Key] = std::move(Errors);
    return false;
  }
  if (!Refused_.empty())
    Refused_.erase(*Proposed.Key);
  release(Proposed.KeyIndex);
  claim(Proposed);
  return true;
}

SettingErrors Assembler::conflictsOf(const Candidate &Proposed) const {
  return std::visit(
      [&](const auto &Value) { return conflictsOf(Proposed, Value); },
      *Proposed.Object->Value);
}

SettingErrors Assembler::conflictsOf(const Candidate &Proposed,
                                     const ZoneSettings &Zone) const {
  SettingErrors Errors;
  for (size_t I = 0; I < Zone.Networks.size(); ++I)
    for (const auto &[Net, Owner] : ClaimedNetworks_)
      if (Owner.KeyIndex != Proposed.KeyIndex &&
          overlaps(Net, Zone.Networks[I]))
        Errors.push_back(
            {fmt::format("/networks/{}", I),
             fmt::format("a network that does not overlap {} of {}",
                         toString(Net), *Owner.Key)});
  return Errors;
}

SettingErrors Assembler::conflictsOf(const Candidate &Proposed,
                                     const ServiceSettings &Service) const {
  SettingErrors Errors;
  for (size_t I = 0; I < Service.Addresses.size(); ++I) {
    const auto It = ClaimedAddresses_.find(Service.Addresses[I]);
    if (It != ClaimedAddresses_.end() &&
        It->second.KeyIndex != Proposed.KeyIndex)
      Errors.push_back(
          {fmt::format("/addresses/{}", I),
           fmt::format("an address that {} does not use", *It->second.Key)});
  }
  for (size_t I = 0; I < Service.Zones.size(); ++I)
    if (!isZoneKnown(Service.Zones[I], Proposed.version()))
      Errors.push_back({fmt::format("/zones/{}", I),
                        fmt::format("a zone that exists; there is no {}",
                                    zoneKey(Service.Zones[I]))});
  return Errors;
}

/// A zone counts as known if it was deleted only after the service was stored:
/// deleting a zone does not take services out of force.
bool Assembler::isZoneKnown(const std::string &Name,
                            uint64_t ServiceVersion) const {
  if (Zones_ == ZoneCheck::None || KnownZones_.contains(Name))
    return true;
  const auto It = Entries_.find(zoneKey(Name));
  if (It == Entries_.end())
    return false;
  const StoredObject &Newest = It->second.Newest.Stored;
  return Newest.Deleted && Newest.Version > ServiceVersion;
}

void Assembler::claim(const Candidate &Proposed) {
  Accepted_[Proposed.KeyIndex] = Proposed.Object;
  if (const auto *S = std::get_if<ServiceSettings>(&*Proposed.Object->Value))
    for (const Endpoint &Address : S->Addresses)
      ClaimedAddresses_[Address] = Proposed;
  const auto *Z = std::get_if<ZoneSettings>(&*Proposed.Object->Value);
  if (!Z)
    return;
  KnownZones_.insert(Z->Name);
  for (const Network &Net : Z->Networks)
    ClaimedNetworks_[Net] = Proposed;
}

void Assembler::release(size_t KeyIndex) {
  if (!Accepted_[KeyIndex])
    return;
  const SettingsValue &Value = *Accepted_[KeyIndex]->Value;
  if (const auto *S = std::get_if<ServiceSettings>(&Value))
    for (const Endpoint &Address : S->Addresses)
      ClaimedAddresses_.erase(Address);
  if (const auto *Z = std::get_if<ZoneSettings>(&Value))
    for (const Network &Net : Z->Networks)
      ClaimedNetworks_.erase(Net);
  Accepted_[KeyIndex] = nullptr;
}

Assembly Assembler::collect() const {
  Assembly Out;
  Out.Refused = Refused_;
  for (const auto &[Key, Entry] : Entries_) {
    Out.Value.Version =
        std::max(Out.Value.Version, Entry.Newest.Stored.Version);
    if (!Entry.Newest.Errors.empty())
      Out.Refused[Key] = Entry.Newest.Errors;
  }
  std::vector<const ServiceSettings *> Services;
  Services.reserve(Accepted_.size());
  for (const SettingsObject *Object : Accepted_) {
    if (!Object)
      continue;
    if (const auto *S = std::get_if<ServiceSettings>(&*Object->Value))
      Services.push_back(S);
    else
      Out.Value.Zones.push_back(std::get<ZoneSettings>(*Object->Value));
  }
  std::sort(Services.begin(), Services.end(),
            [](const ServiceSettings *A, const ServiceSettings *B) {
              return A->Id < B->Id;
            });
  Out.Value.Services.reserve(Services.size());
  for (const ServiceSettings *S : Services)
    Out.Value.Services.push_back(*S);
  return Out;
}

Assembly Assembler::run() {
  acceptAll(candidatesOf(SettingsKind::Zone));
  acceptAll(candidatesOf(SettingsKind::Service));
  return collect();
}

} // namespace

Assembly assemble(const SettingsEntries &Entries, ZoneCheck Zones) {
  return Assembler(Entries, Zones).run();
}

} // namespace dragonflystall
