// Reads a daemon's command line and settings file.
#include "startup.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <sstream>

namespace dragonflystall {

namespace {

constexpr int BadUsage = 2;

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(File), {});
}

std::optional<HostSettings> parseFile(const std::string &Path) {
  const std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    fmt::print(stderr, "{}: cannot read the settings file\n", Path);
    return std::nullopt;
  }
  auto Parsed = parseHostSettings(*Text);
  if (Parsed)
    return *Parsed;
  for (const SettingError &Error : Parsed.error())
    fmt::print(stderr, "{}: {}: expected {}\n", Path, Error.Path,
               Error.Expected);
  return std::nullopt;
}

} // namespace

std::optional<HostSettings>
readHostSettings(int Count, char **Values, const char *Purpose, int &ExitCode) {
  namespace po = boost::program_options;
  po::options_description Options(Purpose);
  Options.add_options()("help", "print this text")(
      "settings", po::value<std::string>()->required(),
      "the JSON file that names this process and its addresses");
  ExitCode = BadUsage;
  po::variables_map Arguments;
  try {
    po::store(po::parse_command_line(Count, Values, Options), Arguments);
    if (Arguments.count("help")) {
      std::ostringstream Help;
      Help << Options;
      fmt::print("{}", Help.str());
      ExitCode = 0;
      return std::nullopt;
    }
    po::notify(Arguments);
  } catch (const po::error &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return std::nullopt;
  }
  return parseFile(Arguments["settings"].as<std::string>());
}

} // namespace dragonflystall
