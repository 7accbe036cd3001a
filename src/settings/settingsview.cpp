// Merges objects by version and builds the messages exchanged with peers.
#include "settings/settingsview.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <xxhash.h>

namespace dragonflystall {

namespace {

/// Limit of the keys in one pull whose earlier valid values are requested.
constexpr int MaxPulledKeys = 64;

StoredObject fromWire(const wire::SettingsObject &Object) {
  return {Object.key(), Object.version(), Object.value(), Object.deleted()};
}

void toWire(const StoredObject &Object, wire::SettingsObject &Into) {
  Into.set_key(Object.Key);
  Into.set_version(Object.Version);
  Into.set_value(Object.Value);
  Into.set_deleted(Object.Deleted);
}

uint64_t hashEntry(const std::string &Key, uint64_t Newest, uint64_t InForce) {
  const std::array<uint64_t, 3> Words = {XXH3_64bits(Key.data(), Key.size()),
                                         Newest, InForce};
  return XXH3_64bits(Words.data(), sizeof(Words));
}

Event eventOf(EventKind Kind, uint64_t Value, std::string Detail) {
  Event E;
  E.Kind = Kind;
  E.Value = Value;
  E.Detail = std::move(Detail);
  return E;
}

} // namespace

std::vector<Event>
SettingsView::merge(const std::vector<StoredObject> &Objects) {
  std::vector<Event> Events;
  bool Changed = false;
  for (const StoredObject &Object : Objects)
    Changed |= storeIfNewer(Object);
  if (Changed)
    rebuild(Events);
  return Events;
}

std::vector<Event> SettingsView::merge(const wire::SettingsPush &Push) {
  std::vector<StoredObject> Objects;
  Objects.reserve(static_cast<size_t>(Push.objects_size()));
  for (const wire::SettingsObject &Object : Push.objects())
    Objects.push_back(fromWire(Object));
  return merge(Objects);
}

/// Stores the object if it is newer than the stored one. Returns true if the
/// entries changed.
bool SettingsView::storeIfNewer(const StoredObject &Object) {
  if (!Object.Key.starts_with(SettingsPrefix) || Object.Version == 0)
    return false;
  const auto [It, IsNew] = Entries_.try_emplace(Object.Key);
  SettingsEntry &Entry = It->second;
  const uint64_t Known = Entry.Newest.Stored.Version;
  if (!IsNew && Object.Version <= Known)
    return storeEarlierValid(Entry, Object);
  StoredObject Copy = Object;
  Copy.Writer.clear();
  SettingsObject Newest = readSettingsObject(std::move(Copy));
  if (Newest.Stored.Deleted)
    Entry.Earlier.reset();
  else if (Entry.Newest.Value && !Refused_.contains(Object.Key))
    Entry.Earlier = std::move(Entry.Newest);
  Entry.Newest = std::move(Newest);
  const auto [First, Last] = ByVersion_.equal_range(Known);
  const auto Former =
      std::find_if(First, Last, [Key = &It->first](const auto &Item) {
        return Item.second == Key;
      });
  if (Former != Last)
    ByVersion_.erase(Former);
  ByVersion_.emplace(Object.Version, &It->first);
  Version_ = std::max(Version_, Object.Version);
  return true;
}

/// A process that never received the valid value before a refused one takes
/// that value from a peer that has it.
bool SettingsView::storeEarlierValid(SettingsEntry &Entry,
                                     const StoredObject &Object) {
  const uint64_t Known = Entry.Earlier ? Entry.Earlier->Stored.Version : 0;
  if (!Refused_.contains(Object.Key) || Object.Version <= Known ||
      Object.Version >= Entry.Newest.Stored.Version)
    return false;
  SettingsObject Earlier = readSettingsObject(Object);
  if (!Earlier.Value)
    return false;
  Entry.Earlier = std::move(Earlier);
  return true;
}

void SettingsView::rebuild(std::vector<Event> &Events) {
  Assembly Built = assemble(Entries_);
  updateRefused(Built, Events);
  for (auto &[Key, Entry] : Entries_)
    if (!Built.Refused.contains(Key))
      Entry.Earlier.reset();
  Hash_ = hash();
  const SettingsPtr Old = Current_;
  Current_ = std::make_shared<Settings>(std::move(Built.Value));
  addZoneEvents(*Old, Events);
  Events.push_back(eventOf(EventKind::SettingsInForce, Current_->Version, ""));
}

void SettingsView::updateRefused(const Assembly &Built,
                                 std::vector<Event> &Events) {
  std::map<std::string, std::string> Refused;
  for (const auto &[Key, Errors] : Built.Refused) {
    const std::string Reason = toString(Errors);
    const auto It = Refused_.find(Key);
    if (It == Refused_.end() || It->second != Reason)
      Events.push_back(eventOf(EventKind::SettingsRefused,
                               Entries_[Key].Newest.Stored.Version,
                               fmt::format("{}: {}", Key, Reason)));
    Refused[Key] = Reason;
  }
  Refused_ = std::move(Refused);
}

void SettingsView::addZoneEvents(const Settings &Old,
                                 std::vector<Event> &Events) const {
  for (const ZoneSettings &Zone : Current_->Zones)
    if (Zone.Evacuated != Old.isZoneEvacuated(Zone.Name))
      Events.push_back(
          eventOf(Zone.Evacuated ? EventKind::ZoneOut : EventKind::ZoneIn,
                  Current_->Version, Zone.Name));
}

/// A sum over the entries, so that the hash does not depend on the order in
/// which objects arrived.
uint64_t SettingsView::hash() const {
  uint64_t Sum = 0;
  for (const auto &[Key, Entry] : Entries_) {
    const uint64_t Newest = Entry.Newest.Stored.Version;
    const uint64_t Earlier = Entry.Earlier ? Entry.Earlier->Stored.Version : 0;
    Sum += hashEntry(Key, Newest, Refused_.contains(Key) ? Earlier : Newest);
  }
  return Sum;
}

wire::SettingsDigest SettingsView::digest() const {
  wire::SettingsDigest Digest;
  Digest.set_version(Version_);
  Digest.set_hash(Hash_);
  return Digest;
}

std::optional<wire::SettingsPull>
SettingsView::compare(const wire::SettingsDigest &PeerDigest) const {
  wire::SettingsPull Pull;
  Pull.set_known_version(Version_);
  if (PeerDigest.version() > Version_)
    return Pull;
  if (PeerDigest.version() < Version_ || PeerDigest.hash() == Hash_)
    return std::nullopt;
  // At equal versions, only the earlier valid values of refused keys can
  // differ.
  for (const auto &[Key, Reason] : Refused_) {
    if (Pull.keys_size() == MaxPulledKeys)
      break;
    Pull.add_keys(Key);
  }
  if (Pull.keys_size() == 0)
    return std::nullopt;
  return Pull;
}

std::optional<wire::SettingsPush>
SettingsView::answer(const wire::SettingsPull &Pull) const {
  wire::SettingsPush Push;
  Push.set_version(Version_);
  for (const std::string &Key : Pull.keys()) {
    const auto It = Entries_.find(Key);
    if (It != Entries_.end() && It->second.Earlier)
      toWire(It->second.Earlier->Stored, *Push.add_objects());
  }
  size_t Bytes = 0;
  for (auto It = ByVersion_.upper_bound(Pull.known_version());
       It != ByVersion_.end(); ++It) {
    const SettingsEntry &Entry = Entries_.at(*It->second);
    const size_t ObjectBytes =
        Entry.Newest.Stored.Value.size() + It->second->size();
    if (Bytes > 0 && Bytes + ObjectBytes > MaxPushBytes) {
      Push.set_more(true);
      break;
    }
    Bytes += ObjectBytes;
    // The value in force precedes the refused one, so that the receiver keeps
    // it as the earlier valid value.
    if (Entry.Earlier)
      toWire(Entry.Earlier->Stored, *Push.add_objects());
    toWire(Entry.Newest.Stored, *Push.add_objects());
    Push.set_version(It->first);
  }
  if (Push.objects_size() == 0)
    return std::nullopt;
  return Push;
}

std::optional<wire::SettingsPull>
SettingsView::next(const wire::SettingsPush &Push) const {
  if (!Push.more())
    return std::nullopt;
  wire::SettingsPull Pull;
  Pull.set_known_version(Version_);
  return Pull;
}

} // namespace dragonflystall
