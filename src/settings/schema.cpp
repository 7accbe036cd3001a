// Validates values against the rules of a settings schema.
#include "settings/schema.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <set>

namespace dragonflystall {

namespace {

constexpr size_t MaxNameLength = 63;
constexpr int MaxDepth = 16;

bool validNamePart(std::string_view Part) {
  if (Part.empty() || Part.size() > MaxNameLength)
    return false;
  const auto IsLetterOrDigit = [](unsigned char C) {
    return std::islower(C) || std::isdigit(C);
  };
  if (!IsLetterOrDigit(static_cast<unsigned char>(Part.front())))
    return false;
  return std::all_of(Part.begin(), Part.end(), [&](unsigned char C) {
    return IsLetterOrDigit(C) || C == '-' || C == '_' || C == '.';
  });
}

bool isAddress(const Json &Value) {
  if (!Value.is_string())
    return false;
  const auto Parsed = parseEndpoint(Value.get_ref<const std::string &>());
  return Parsed && *Parsed;
}

bool isNetwork(const Json &Value) {
  if (!Value.is_string())
    return false;
  const auto Parsed = parseNetwork(Value.get_ref<const std::string &>());
  if (!Parsed)
    return false;
  // With bits set behind the prefix, the text would differ from the network
  // that it covers.
  return Parsed->PrefixBits == 32 || (Parsed->Ip << Parsed->PrefixBits) == 0;
}

bool isName(const Json &Value) {
  return Value.is_string() &&
         validName(Value.get_ref<const std::string &>(), true);
}

bool isChoice(std::string_view Choices, const Json &Value) {
  if (!Value.is_string())
    return false;
  const std::string_view Word = Value.get_ref<const std::string &>();
  while (!Choices.empty()) {
    const size_t Bar = Choices.find('|');
    if (Choices.substr(0, Bar) == Word)
      return true;
    if (Bar == std::string_view::npos)
      return false;
    Choices.remove_prefix(Bar + 1);
  }
  return false;
}

bool isInteger(const Key &Rule, const Json &Value) {
  if (!Value.is_number_integer())
    return false;
  if (Value.is_number_unsigned() && Value.get<uint64_t>() > INT64_MAX)
    return false;
  const auto Number = Value.get<int64_t>();
  return Number >= Rule.Min && Number <= Rule.Max;
}

constexpr std::string_view AddressForm =
    "an IPv4 address and a port, such as \"10.0.0.1:5683\"";
constexpr std::string_view NetworkForm =
    "an IPv4 network without host bits, such as \"10.0.1.0/24\"";
constexpr std::string_view NameForm =
    "a name of lower-case letters, digits, '-', '_' and '.'";

/// Checks a list's length, each entry, and that there are no duplicates.
void checkList(const Key &Rule, const Json &Value, const std::string &Path,
               bool (*Check)(const Json &), std::string_view Form,
               SettingErrors &Errors) {
  const auto Length = static_cast<int64_t>(Value.size());
  if (!Value.is_array() || Length < Rule.Min || Length > Rule.Max) {
    Errors.push_back(
        {Path, fmt::format("a list of {} to {} entries", Rule.Min, Rule.Max)});
    return;
  }
  std::set<std::string> Seen;
  for (size_t I = 0; I < Value.size(); ++I) {
    const std::string EntryPath = fmt::format("{}/{}", Path, I);
    if (!Check(Value[I]))
      Errors.push_back({EntryPath, std::string(Form)});
    else if (!Seen.insert(Value[I].get<std::string>()).second)
      Errors.push_back({EntryPath, "no duplicate entries"});
  }
}

void expect(bool Holds, const std::string &Path, std::string Expected,
            SettingErrors &Errors) {
  if (!Holds)
    Errors.push_back({Path, std::move(Expected)});
}

std::string escapePointer(std::string_view KeyName) {
  std::string Out;
  for (const char C : KeyName) {
    if (C == '~')
      Out += "~0";
    else if (C == '/')
      Out += "~1";
    else
      Out += C;
  }
  return Out;
}

bool isGroup(std::span<const Key> Rules, const std::string &Path) {
  return std::any_of(Rules.begin(), Rules.end(), [&](const Key &K) {
    return K.Path.size() > Path.size() && K.Path.starts_with(Path) &&
           K.Path[Path.size()] == '/';
  });
}

bool isKey(std::span<const Key> Rules, const std::string &Path) {
  return std::any_of(Rules.begin(), Rules.end(),
                     [&](const Key &K) { return K.Path == Path; });
}

void checkUnknownBelow(std::span<const Key> Rules, const Json &Object,
                       const std::string &Prefix, SettingErrors &Errors) {
  for (const auto &[Name, Value] : Object.items()) {
    const std::string Path = Prefix + Name;
    const std::string Pointer =
        fmt::format("/{}{}", Prefix, escapePointer(Name));
    if (isKey(Rules, Path))
      continue;
    if (!isGroup(Rules, Path))
      Errors.push_back({Pointer, "a known key; no key has this name"});
    else if (!Value.is_object())
      Errors.push_back({Pointer, "an object"});
    else
      checkUnknownBelow(Rules, Value, Path + "/", Errors);
  }
}

/// Detects input that the JSON parser accepts without an error: duplicate keys
/// in an object (the last one would win), and unbounded nesting.
class StrictParseCheck {
public:
  bool operator()(int Depth, Json::parse_event_t ParseEvent, Json &Parsed) {
    if (Depth > MaxDepth)
      TooDeep_ = true;
    if (ParseEvent == Json::parse_event_t::object_start)
      Names_.emplace_back();
    else if (ParseEvent == Json::parse_event_t::object_end)
      Names_.pop_back();
    else if (ParseEvent == Json::parse_event_t::key &&
             !Names_.back().insert(Parsed.get<std::string>()).second)
      DuplicateKey_ = Parsed.get<std::string>();
    return true;
  }
  bool isTooDeep() const { return TooDeep_; }
  const std::optional<std::string> &duplicateKey() const {
    return DuplicateKey_;
  }

private:
  std::vector<std::set<std::string>> Names_;
  bool TooDeep_ = false;
  std::optional<std::string> DuplicateKey_;
};

} // namespace

std::string toString(const SettingErrors &Errors) {
  std::string Out;
  for (const SettingError &E : Errors) {
    if (!Out.empty())
      Out += "; ";
    Out += fmt::format("{}: expected {}", E.Path.empty() ? "/" : E.Path,
                       E.Expected);
  }
  return Out;
}

bool validName(std::string_view Text, bool MayNest) {
  const size_t Slash = MayNest ? Text.find('/') : std::string_view::npos;
  if (!validNamePart(Text.substr(0, Slash)))
    return false;
  return Slash == std::string_view::npos ||
         validName(Text.substr(Slash + 1), true);
}

void checkValue(const Key &Rule, const Json &Value, const std::string &Path,
                SettingErrors &Errors) {
  switch (Rule.Type) {
  case KeyType::Integer:
    return expect(
        isInteger(Rule, Value), Path,
        fmt::format("a whole number from {} to {}", Rule.Min, Rule.Max),
        Errors);
  case KeyType::Name:
    return expect(isName(Value), Path, std::string(NameForm), Errors);
  case KeyType::Choice:
    return expect(isChoice(Rule.Choices, Value), Path,
                  fmt::format("one of {}", Rule.Choices), Errors);
  case KeyType::Address:
    return expect(isAddress(Value), Path, std::string(AddressForm), Errors);
  case KeyType::Names:
    return checkList(Rule, Value, Path, isName, NameForm, Errors);
  case KeyType::Addresses:
    return checkList(Rule, Value, Path, isAddress, AddressForm, Errors);
  case KeyType::Networks:
    return checkList(Rule, Value, Path, isNetwork, NetworkForm, Errors);
  }
}

void checkUnknown(std::span<const Key> Rules, const Json &Object,
                  SettingErrors &Errors) {
  checkUnknownBelow(Rules, Object, "", Errors);
}

const Json *findValue(const Json &Object, std::string_view Path) {
  const Json *Current = &Object;
  while (true) {
    const size_t Slash = Path.find('/');
    if (!Current->is_object())
      return nullptr;
    const auto It = Current->find(std::string(Path.substr(0, Slash)));
    if (It == Current->end())
      return nullptr;
    Current = &*It;
    if (Slash == std::string_view::npos)
      return Current;
    Path.remove_prefix(Slash + 1);
  }
}

std::optional<Json> parseJson(std::string_view Text, SettingErrors &Errors) {
  StrictParseCheck Check;
  Json Value = Json::parse(
      Text,
      [&Check](int Depth, Json::parse_event_t ParseEvent, Json &Parsed) {
        return Check(Depth, ParseEvent, Parsed);
      },
      false);
  if (Value.is_discarded())
    Errors.push_back({"", "JSON text"});
  else if (Check.isTooDeep())
    Errors.push_back(
        {"", fmt::format("nesting of at most {} levels", MaxDepth)});
  else if (Check.duplicateKey())
    Errors.push_back({"", fmt::format("no duplicate keys; \"{}\" occurs twice",
                                      *Check.duplicateKey())});
  else
    return Value;
  return std::nullopt;
}

} // namespace dragonflystall
