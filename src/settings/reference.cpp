// Prints the tables of keys as Markdown.
#include "settings/reference.h"

#include "settings/hostsettings.h"
#include "settings/objects.h"
#include "settings/schema.h"

#include <fmt/format.h>

namespace dragonflystall {

namespace {

constexpr std::string_view Intro = R"(# Settings reference

This page is printed by `dragonflystall check --reference`; a test compares it
with the tables that the check uses. How changes travel and what happens to bad
ones is in [operations/settings.md](operations/settings.md).

All settings are JSON. A key that is not listed here is refused, and so is a key
that stands twice in one object. Names are of lower-case letters, digits, `-`,
`_` and `.`, 63 characters at most; names of hosts may have parts parted by `/`.
Addresses are IPv4 numbers with a port, networks IPv4 in CIDR notation without
host bits.

)";

constexpr std::string_view ServiceIntro = R"(## Service

Key `settings/<team>/services/<name>`, written by the team (`apply`, `drain`).
Checked across all teams: no address in two services, no zone that does not
exist. Where two services claim an address, the one that was stored first keeps
it.

)";

constexpr std::string_view ZoneIntro = R"(## Availability zone

Key `settings/zones/<zone>`, written by the team `operations` (`apply`, `zone`).
No network in two zones.

)";

constexpr std::string_view HostIntro = R"(## Process

The file that a daemon is started with (`--settings FILE`). A balancer has
neither `team` nor `service` nor `upstream`; an agent has all three and no
`entry`.

)";

std::string rangeOf(const Key &K) {
  switch (K.Type) {
  case KeyType::Integer:
    return fmt::format("{} to {}", K.Min, K.Max);
  case KeyType::Choice: {
    std::string Words = "`";
    for (const char C : K.Choices)
      Words += C == '|' ? std::string("`, `") : std::string(1, C);
    return Words + "`";
  }
  case KeyType::Names:
  case KeyType::Addresses:
  case KeyType::Networks:
    return fmt::format("{} to {} entries", K.Min, K.Max);
  case KeyType::Name:
  case KeyType::Address:
    return "";
  }
  return "";
}

std::string defaultOf(const Key &K) {
  if (K.Required)
    return "required";
  return K.Default.empty() ? "" : fmt::format("`{}`", K.Default);
}

std::string tableOf(const std::vector<Key> &Keys) {
  std::string Out = "| Key | Type | Unit | Default | Range | Meaning |\n"
                    "|---|---|---|---|---|---|\n";
  for (const Key &K : Keys)
    Out += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", K.Path,
                       name(K.Type), K.Unit, defaultOf(K), rangeOf(K), K.Help);
  return Out;
}

} // namespace

std::string settingsReference() {
  return fmt::format("{}{}{}\n{}{}\n{}{}", Intro, ServiceIntro,
                     tableOf(serviceKeys()), ZoneIntro, tableOf(zoneKeys()),
                     HostIntro, tableOf(hostKeys()));
}

} // namespace dragonflystall
