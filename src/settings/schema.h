// The schema of JSON settings: a table of keys drives the check, the reading
// into the model, and the reference page. All errors of a value are found at
// once.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_SCHEMA_H
#define DRAGONFLYSTALL_SRC_SETTINGS_SCHEMA_H

#include "dragonflystall/types.h"
#include "settings/settingerror.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <span>

namespace dragonflystall {

using Json = nlohmann::json;

enum class KeyType : uint8_t {
  Integer,
  Name,
  Names,
  Choice,
  Address,
  Addresses,
  Networks,
};

constexpr std::array<std::string_view, 7> KeyTypeNames = {
    "whole number", "name",      "list of names",   "word",
    "address",      "addresses", "list of networks"};
constexpr std::string_view name(KeyType T) {
  return KeyTypeNames[static_cast<size_t>(T)];
}

/// One key of a settings object.
struct Key {
  std::string_view Path; ///< "limits/slots" is the key slots within limits.
  KeyType Type = KeyType::Integer;
  std::string_view Unit = {}; ///< Empty when it has none.
  bool Required = false;
  std::string_view Default =
      {};          ///< As JSON; what holds when the key is absent.
  int64_t Min = 0; ///< Integer: the value. Lists: the entries.
  int64_t Max = 0;
  std::string_view Choices = {}; ///< Choice: the words, parted by '|'.
  std::string_view Help = {};
};

/// A key and where its checked value goes in the model.
template <typename Model> struct Field {
  Key Rule;
  void (*Read)(Model &Into, const Json &Value);
};

/// Lower-case letters, digits, '-', '_', '.', 1 to 63 of them, letter or digit
/// first. Parts are parted by '/' where MayNest.
bool validName(std::string_view Text, bool MayNest = false);

/// Appends what is wrong with the value at Path.
void checkValue(const Key &Rule, const Json &Value, const std::string &Path,
                SettingErrors &Errors);
/// Appends an error for each key of the object that no rule knows.
void checkUnknown(std::span<const Key> Rules, const Json &Object,
                  SettingErrors &Errors);
/// The value at "limits/slots"; nullptr when it is absent.
const Json *findValue(const Json &Object, std::string_view Path);

/// Parses text; std::nullopt when it isn't JSON, has a key twice in an object,
/// or is nested deeper than any settings are. Errors says which.
std::optional<Json> parseJson(std::string_view Text, SettingErrors &Errors);

/// Checks the object against the table and reads it. The model is complete
/// only if no error was added.
template <typename Model>
void readObject(std::span<const Field<Model>> Table, const Json &Object,
                Model &Into, SettingErrors &Errors) {
  if (!Object.is_object()) {
    Errors.push_back({"", "an object"});
    return;
  }
  std::vector<Key> Rules;
  for (const Field<Model> &F : Table)
    Rules.push_back(F.Rule);
  checkUnknown(Rules, Object, Errors);
  for (const Field<Model> &F : Table) {
    const std::string Path = fmt::format("/{}", F.Rule.Path);
    const Json *Value = findValue(Object, F.Rule.Path);
    if (!Value && F.Rule.Required)
      Errors.push_back({Path, "this key; it is required"});
    if (!Value)
      continue;
    const size_t Before = Errors.size();
    checkValue(F.Rule, *Value, Path, Errors);
    if (Errors.size() == Before)
      F.Read(Into, *Value);
  }
}

} // namespace dragonflystall

#endif
