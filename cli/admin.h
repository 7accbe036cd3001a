// What the administration commands share: options, and calls on the platform
// that are repeated while it is busy or away.
#ifndef DRAGONFLYSTALL_CLI_ADMIN_H
#define DRAGONFLYSTALL_CLI_ADMIN_H

#include "command.h"
#include "objectstore/client.h"
#include "objectstore/objectwrite.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace dragonflystall::cli {

/// A command's options and arguments. Every one has --help and --json.
class Options {
public:
  /// Usage is the text behind the command's name; Positional names the
  /// arguments in order, the last of which takes all that are left.
  Options(std::string_view Command, std::string_view Usage,
          std::string_view Summary);

  boost::program_options::options_description &table() { return Table_; }
  void addText(const char *Name, const char *Help);
  /// One that may be given more than once.
  void addTexts(const char *Name, const char *Help);
  void addNumber(const char *Name, int64_t Default, const char *Help);
  /// An argument that is given by its place.
  void positional(const char *Name, int Count = 1);
  /// Adds --platform and --timeout.
  void addPlatform();
  /// Unset: go on. Otherwise the code to exit with (help or bad usage).
  std::optional<int> parse(const Arguments &Args);

  bool has(const char *Name) const { return Given_.count(Name) > 0; }
  bool json() const { return has("json"); }
  std::string text(const char *Name) const;
  std::vector<std::string> texts(const char *Name) const;
  int64_t number(const char *Name) const { return Given_[Name].as<int64_t>(); }
  Endpoint platform() const { return Platform_; }
  Duration timeout() const;

private:
  void printHelp() const;

  std::string_view Command_;
  std::string_view Usage_;
  std::string_view Summary_;
  boost::program_options::options_description Table_{"options"};
  boost::program_options::options_description Hidden_;
  boost::program_options::positional_options_description Places_;
  boost::program_options::variables_map Given_;
  bool UsesPlatform_ = false;
  Endpoint Platform_;
};

/// The platform as the commands use it.
class Platform {
public:
  Platform(Endpoint Address, Duration Patience);

  /// Reads, again and again until Patience is over.
  StoreAnswer read(const StoreCall &Call);
  /// A conditional write whose lost answers are resolved by its mark.
  WriteResult write(StoreCall Call);

private:
  StoreAnswer callPaced(const StoreCall &Call, uint32_t &Failures);

  HttpStore Store_;
  Duration Patience_;
  uint64_t Seed_;
  uint64_t Marks_ = 0;
};

/// Says what failed, for a read that did not come to Done.
int reportFailure(const StoreAnswer &Answer);
/// The exit code for a write, after a line about it unless AsJson.
int exitCodeOf(WriteOutcome Outcome);

} // namespace dragonflystall::cli

#endif
