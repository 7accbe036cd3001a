// Objects are offered in the order of their versions, as the platform took
// them; one that clashes with what was accepted is refused.
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

/// One value that may come into force. Slot is its key's place among the
/// entries, which stands for the key where speed counts.
struct Offer {
  size_t Slot = 0;
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
    Addresses_.reserve(Entries.size());
  }
  Assembly run();

private:
  std::vector<Offer> offersOf(SettingsKind Kind) const;
  void acceptAll(std::vector<Offer> Offers);
  bool tryOffer(const Offer &What);
  SettingErrors clashes(const Offer &What) const;
  SettingErrors clashes(const Offer &What, const ZoneSettings &Zone) const;
  SettingErrors clashes(const Offer &What,
                        const ServiceSettings &Service) const;
  bool zoneKnown(const std::string &Name, uint64_t ServiceVersion) const;
  void claim(const Offer &What);
  void release(size_t Slot);
  Assembly collect() const;

  const SettingsEntries &Entries_;
  ZoneCheck Zones_;
  /// What is in force, by slot; null when nothing is.
  std::vector<const SettingsObject *> Accepted_;
  /// Who claimed what.
  std::unordered_map<Endpoint, Offer, EndpointHash> Addresses_;
  std::map<Network, Offer> Networks_;
  std::set<std::string_view> KnownZones_;
  std::map<std::string, SettingErrors> Refused_;
};

std::vector<Offer> Assembler::offersOf(SettingsKind Kind) const {
  std::vector<Offer> Offers;
  Offers.reserve(Entries_.size());
  size_t Slot = 0;
  const auto Add = [&](const std::string &Key, const SettingsObject &Object) {
    if (Object.Value && Object.Value->index() == static_cast<size_t>(Kind))
      Offers.push_back({Slot, &Key, &Object});
  };
  for (const auto &[Key, Entry] : Entries_) {
    Add(Key, Entry.Newest);
    if (Entry.Earlier)
      Add(Key, *Entry.Earlier);
    ++Slot;
  }
  std::sort(Offers.begin(), Offers.end(), [](const Offer &A, const Offer &B) {
    return A.version() < B.version();
  });
  return Offers;
}

/// Accepting one may release what another was refused for, so those are
/// offered again until nothing changes.
void Assembler::acceptAll(std::vector<Offer> Offers) {
  while (true) {
    std::vector<Offer> Left;
    for (const Offer &What : Offers)
      if (!tryOffer(What))
        Left.push_back(What);
    if (Left.size() == Offers.size())
      return;
    Offers = std::move(Left);
  }
}

bool Assembler::tryOffer(const Offer &What) {
  const SettingsObject *InForce = Accepted_[What.Slot];
  if (InForce && InForce->Stored.Version > What.version())
    return true;
  SettingErrors Errors = clashes(What);
  if (!Errors.empty()) {
    Refused_[*What.Key] = std::move(Errors);
    return false;
  }
  if (!Refused_.empty())
    Refused_.erase(*What.Key);
  release(What.Slot);
  claim(What);
  return true;
}

SettingErrors Assembler::clashes(const Offer &What) const {
  return std::visit([&](const auto &Value) { return clashes(What, Value); },
                    *What.Object->Value);
}

SettingErrors Assembler::clashes(const Offer &What,
                                 const ZoneSettings &Zone) const {
  SettingErrors Errors;
  for (size_t I = 0; I < Zone.Networks.size(); ++I)
    for (const auto &[Net, Owner] : Networks_)
      if (Owner.Slot != What.Slot && overlaps(Net, Zone.Networks[I]))
        Errors.push_back({fmt::format("/networks/{}", I),
                          fmt::format("a network apart from {} of {}",
                                      toString(Net), *Owner.Key)});
  return Errors;
}

SettingErrors Assembler::clashes(const Offer &What,
                                 const ServiceSettings &Service) const {
  SettingErrors Errors;
  for (size_t I = 0; I < Service.Addresses.size(); ++I) {
    const auto It = Addresses_.find(Service.Addresses[I]);
    if (It != Addresses_.end() && It->second.Slot != What.Slot)
      Errors.push_back(
          {fmt::format("/addresses/{}", I),
           fmt::format("an address that {} does not have", *It->second.Key)});
  }
  for (size_t I = 0; I < Service.Zones.size(); ++I)
    if (!zoneKnown(Service.Zones[I], What.version()))
      Errors.push_back({fmt::format("/zones/{}", I),
                        fmt::format("a zone that exists; there is no {}",
                                    zoneKey(Service.Zones[I]))});
  return Errors;
}

/// A zone that was deleted after the service named it does not take the
/// service out of force.
bool Assembler::zoneKnown(const std::string &Name,
                          uint64_t ServiceVersion) const {
  if (Zones_ == ZoneCheck::None || KnownZones_.contains(Name))
    return true;
  const auto It = Entries_.find(zoneKey(Name));
  if (It == Entries_.end())
    return false;
  const StoredObject &Newest = It->second.Newest.Stored;
  return Newest.Deleted && Newest.Version > ServiceVersion;
}

void Assembler::claim(const Offer &What) {
  Accepted_[What.Slot] = What.Object;
  if (const auto *S = std::get_if<ServiceSettings>(&*What.Object->Value))
    for (const Endpoint &Address : S->Addresses)
      Addresses_[Address] = What;
  const auto *Z = std::get_if<ZoneSettings>(&*What.Object->Value);
  if (!Z)
    return;
  KnownZones_.insert(Z->Name);
  for (const Network &Net : Z->Networks)
    Networks_[Net] = What;
}

void Assembler::release(size_t Slot) {
  if (!Accepted_[Slot])
    return;
  const SettingsValue &Value = *Accepted_[Slot]->Value;
  if (const auto *S = std::get_if<ServiceSettings>(&Value))
    for (const Endpoint &Address : S->Addresses)
      Addresses_.erase(Address);
  if (const auto *Z = std::get_if<ZoneSettings>(&Value))
    for (const Network &Net : Z->Networks)
      Networks_.erase(Net);
  Accepted_[Slot] = nullptr;
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
  acceptAll(offersOf(SettingsKind::Zone));
  acceptAll(offersOf(SettingsKind::Service));
  return collect();
}

} // namespace

Assembly assemble(const SettingsEntries &Entries, ZoneCheck Zones) {
  return Assembler(Entries, Zones).run();
}

} // namespace dragonflystall
