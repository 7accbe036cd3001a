// Objects are offered in the order of their versions, as the platform took
// them; one that clashes with what was accepted is refused.
#include "settings/assemble.h"

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>

namespace dragonflystall {

namespace {

struct EndpointHash {
  size_t operator()(const Endpoint &E) const {
    return ((uint64_t{E.Ip} << 16) | E.Port) * 0x9e3779b97f4a7c15ULL >> 16;
  }
};

/// One value that may come into force.
struct Offer {
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
      : Entries_(Entries), Zones_(Zones) {}
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
  void release(const std::string &Key);
  Assembly collect() const;

  const SettingsEntries &Entries_;
  ZoneCheck Zones_;
  /// What is in force, by key.
  std::map<std::string_view, const SettingsObject *> Accepted_;
  std::unordered_map<Endpoint, const std::string *, EndpointHash> Addresses_;
  std::map<Network, const std::string *> Networks_;
  std::map<std::string, SettingErrors> Refused_;
};

std::vector<Offer> Assembler::offersOf(SettingsKind Kind) const {
  std::vector<Offer> Offers;
  const auto Add = [&](const std::string &Key, const SettingsObject &Object) {
    if (Object.Value && Object.Value->index() == static_cast<size_t>(Kind))
      Offers.push_back({&Key, &Object});
  };
  for (const auto &[Key, Entry] : Entries_) {
    Add(Key, Entry.Newest);
    if (Entry.Earlier)
      Add(Key, *Entry.Earlier);
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
  const auto It = Accepted_.find(*What.Key);
  if (It != Accepted_.end() && It->second->Stored.Version > What.version())
    return true;
  SettingErrors Errors = clashes(What);
  if (!Errors.empty()) {
    Refused_[*What.Key] = std::move(Errors);
    return false;
  }
  Refused_.erase(*What.Key);
  release(*What.Key);
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
      if (*Owner != *What.Key && overlaps(Net, Zone.Networks[I]))
        Errors.push_back({fmt::format("/networks/{}", I),
                          fmt::format("a network apart from {} of {}",
                                      toString(Net), *Owner)});
  return Errors;
}

SettingErrors Assembler::clashes(const Offer &What,
                                 const ServiceSettings &Service) const {
  SettingErrors Errors;
  for (size_t I = 0; I < Service.Addresses.size(); ++I) {
    const auto It = Addresses_.find(Service.Addresses[I]);
    if (It != Addresses_.end() && *It->second != *What.Key)
      Errors.push_back(
          {fmt::format("/addresses/{}", I),
           fmt::format("an address that {} does not have", *It->second)});
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
  const std::string Key = zoneKey(Name);
  if (Zones_ == ZoneCheck::None || Accepted_.contains(Key))
    return true;
  const auto It = Entries_.find(Key);
  if (It == Entries_.end())
    return false;
  const StoredObject &Newest = It->second.Newest.Stored;
  return Newest.Deleted && Newest.Version > ServiceVersion;
}

void Assembler::claim(const Offer &What) {
  Accepted_[*What.Key] = What.Object;
  if (const auto *S = std::get_if<ServiceSettings>(&*What.Object->Value))
    for (const Endpoint &Address : S->Addresses)
      Addresses_[Address] = What.Key;
  if (const auto *Z = std::get_if<ZoneSettings>(&*What.Object->Value))
    for (const Network &Net : Z->Networks)
      Networks_[Net] = What.Key;
}

void Assembler::release(const std::string &Key) {
  const auto It = Accepted_.find(Key);
  if (It == Accepted_.end())
    return;
  const SettingsValue &Value = *It->second->Value;
  if (const auto *S = std::get_if<ServiceSettings>(&Value))
    for (const Endpoint &Address : S->Addresses)
      Addresses_.erase(Address);
  if (const auto *Z = std::get_if<ZoneSettings>(&Value))
    for (const Network &Net : Z->Networks)
      Networks_.erase(Net);
  Accepted_.erase(It);
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
  for (const auto &[Key, Object] : Accepted_) {
    if (const auto *S = std::get_if<ServiceSettings>(&*Object->Value))
      Out.Value.Services.push_back(*S);
    if (const auto *Z = std::get_if<ZoneSettings>(&*Object->Value))
      Out.Value.Zones.push_back(*Z);
  }
  std::sort(Out.Value.Services.begin(), Out.Value.Services.end(),
            [](const ServiceSettings &A, const ServiceSettings &B) {
              return A.Id < B.Id;
            });
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
