// The schema of JSON settings: a table of keys defines the validation, the
// conversion into the model, and the reference page. Validation reports all
// errors of a value at once.
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
  /// "limits/slots" is the key "slots" in the object "limits".
  std::string_view Path;
  KeyType Type = KeyType::Integer;
  std::string_view Unit = {}; ///< Empty if the value has no unit.
  bool Required = false;
  /// JSON text of the value that applies if the key is absent.
  std::string_view Default = {};
  int64_t Min = 0; ///< Bound of an integer's value, or of a list's length.
  int64_t Max = 0;
  std::string_view Choices = {}; ///< For Choice: the words, separated by '|'.
  std::string_view Help = {};
};

/// A key, and the function that stores its checked value in the model.
template <typename Model> struct Field {
  Key Rule;
  void (*Read)(Model &Into, const Json &Value);
};

/// A name has 1 to 63 lower-case letters, digits, '-', '_' and '.', and begins
/// with a letter or digit. With MayNest it may consist of several such parts,
/// separated by '/'.
bool validName(std::string_view Text, bool MayNest = false);

/// Checks the value at Path and appends its errors.
void checkValue(const Key &Rule, const Json &Value, const std::string &Path,
                SettingErrors &Errors);
/// Appends an error for each key of the object that is in none of the rules.
void checkUnknown(std::span<const Key> Rules, const Json &Object,
                  SettingErrors &Errors);
/// Returns the value at a path such as "limits/slots"; nullptr if it is absent.
const Json *findValue(const Json &Object, std::string_view Path);

/// Parses the text. Returns std::nullopt and appends an error if the text is
/// not JSON, has a duplicate key in an object, or is nested deeper than 16
/// levels.
std::optional<Json> parseJson(std::string_view Text, SettingErrors &Errors);

/// Checks the object against the table and stores its values in the model. The
/// model is complete only if no error was appended.
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
    const size_t ErrorsBefore = Errors.size();
    checkValue(F.Rule, *Value, Path, Errors);
    if (Errors.size() == ErrorsBefore)
      F.Read(Into, *Value);
  }
}

} // namespace dragonflystall

#endif
