// Options of the administration commands, and calls to the platform that are
// retried while the platform is busy or unreachable.
#ifndef DRAGONFLYSTALL_CLI_ADMIN_H
#define DRAGONFLYSTALL_CLI_ADMIN_H

#include "command.h"
#include "objectstore/client.h"
#include "objectstore/objectwrite.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace dragonflystall::cli {

/// A command's options and arguments. Every command has --help and --json.
class Options {
public:
  /// Usage is the text after the command's name in the usage line.
  Options(std::string_view Command, std::string_view Usage,
          std::string_view Summary);

  boost::program_options::options_description &table() { return Table_; }
  void addText(const char *Name, const char *Help);
  /// An option that may be given more than once.
  void addTexts(const char *Name, const char *Help);
  void addNumber(const char *Name, int64_t Default, const char *Help);
  /// Positional arguments, in the order of the calls. Count is how many values
  /// the name takes; -1 takes all that remain.
  void positional(const char *Name, int Count = 1);
  /// Adds --platform and --timeout.
  void addPlatform();
  /// Returns the exit code if the command must stop (help or bad usage),
  /// nothing if it is to run.
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
  boost::program_options::positional_options_description Positions_;
  boost::program_options::variables_map Given_;
  bool UsesPlatform_ = false;
  Endpoint Platform_;
};

/// Blocking, retrying access to the platform's object API.
class Platform {
public:
  Platform(Endpoint Address, Duration Timeout);

  /// Repeats the read until it succeeds, fails permanently, or the timeout has
  /// passed.
  StoreAnswer read(const StoreCall &Call);
  /// A conditional write. Each write has a unique writer mark, by which a later
  /// read shows whether a write whose answer was lost has taken effect.
  WriteResult write(StoreCall Call);

private:
  StoreAnswer callWithBackoff(const StoreCall &Call, uint32_t &Failures);

  HttpStore Store_;
  Duration Timeout_;
  uint64_t Seed_;
  uint64_t WriteCount_ = 0;
};

/// Prints the failure of a read whose status is not Done; returns the exit
/// code.
int reportFailure(const StoreAnswer &Answer);
/// The exit code for the outcome of a write.
int exitCodeOf(WriteOutcome Outcome);

} // namespace dragonflystall::cli

#endif
