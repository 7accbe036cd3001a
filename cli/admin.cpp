// Options and platform calls of the administration commands.
#include "admin.h"

#include "objectstore/pacing.h"

#include <cstdlib>
#include <fmt/format.h>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace po = boost::program_options;

namespace dragonflystall::cli {

namespace {

constexpr const char *DefaultPlatform = "127.1.0.1:9000";
constexpr const char *PlatformVariable = "DRAGONFLYSTALL_PLATFORM";
constexpr int64_t DefaultTimeoutMs = 10'000;

std::string defaultPlatform() {
  const char *Value = std::getenv(PlatformVariable);
  return Value ? Value : DefaultPlatform;
}

} // namespace

Options::Options(std::string_view Command, std::string_view Usage,
                 std::string_view Summary)
    : Command_(Command), Usage_(Usage), Summary_(Summary) {
  Table_.add_options()("help", "print this text")(
      "json", "print machine-readable JSON");
}

void Options::addText(const char *Name, const char *Help) {
  Table_.add_options()(Name, po::value<std::string>(), Help);
}

void Options::addTexts(const char *Name, const char *Help) {
  Table_.add_options()(Name, po::value<std::vector<std::string>>(), Help);
}

void Options::addNumber(const char *Name, int64_t Default, const char *Help) {
  Table_.add_options()(Name, po::value<int64_t>()->default_value(Default),
                       Help);
}

void Options::positional(const char *Name, int Count) {
  Hidden_.add_options()(Name, po::value<std::vector<std::string>>());
  Positions_.add(Name, Count);
}

void Options::addPlatform() {
  UsesPlatform_ = true;
  Table_.add_options()(
      "platform", po::value<std::string>()->default_value(defaultPlatform()),
      "address of the platform's object API (DRAGONFLYSTALL_PLATFORM)")(
      "timeout-ms", po::value<int64_t>()->default_value(DefaultTimeoutMs),
      "how long to retry while the platform is busy or unreachable");
}

std::optional<int> Options::parse(const Arguments &Args) {
  po::options_description All;
  All.add(Table_).add(Hidden_);
  try {
    po::store(
        po::command_line_parser(Args).options(All).positional(Positions_).run(),
        Given_);
    po::notify(Given_);
  } catch (const po::error &E) {
    fmt::print(stderr, "{}: {}\n", Command_, E.what());
    return BadUsage;
  }
  if (has("help")) {
    printHelp();
    return Success;
  }
  if (!UsesPlatform_)
    return std::nullopt;
  const auto Address = parseEndpoint(Given_["platform"].as<std::string>());
  if (!Address) {
    fmt::print(stderr, "{}: --platform: expected an address such as {}\n",
               Command_, DefaultPlatform);
    return BadUsage;
  }
  Platform_ = *Address;
  return std::nullopt;
}

void Options::printHelp() const {
  std::ostringstream Text;
  Text << Table_;
  fmt::print("usage: dragonflystall {} {}\n\n{}\n\n{}", Command_, Usage_,
             Summary_, Text.str());
}

std::vector<std::string> Options::texts(const char *Name) const {
  if (!has(Name))
    return {};
  return Given_[Name].as<std::vector<std::string>>();
}

std::string Options::text(const char *Name) const {
  if (!has(Name))
    return "";
  const boost::any &Value = Given_[Name].value();
  if (const auto *Text = boost::any_cast<std::string>(&Value))
    return *Text;
  return texts(Name).front();
}

Duration Options::timeout() const {
  return std::chrono::milliseconds(Given_["timeout-ms"].as<int64_t>());
}

Platform::Platform(Endpoint Address, Duration Timeout)
    : Store_(Address), Timeout_(Timeout), Seed_(std::random_device()()) {}

/// Makes the call; after a failure that a retry may resolve, sleeps for the
/// back-off time or for the time that the platform asked for.
StoreAnswer Platform::callWithBackoff(const StoreCall &Call,
                                      uint32_t &Failures) {
  StoreAnswer Answer = Store_.call(Call);
  Random Source(Seed_ + Failures);
  if (Answer.Status == StoreStatus::Busy)
    std::this_thread::sleep_for(Answer.RetryAfter);
  else if (Answer.Status == StoreStatus::Lost ||
           Answer.Status == StoreStatus::NotSent)
    std::this_thread::sleep_for(backoff(Source, Failures++));
  return Answer;
}

StoreAnswer Platform::read(const StoreCall &Call) {
  const TimePoint End = SystemClock().now() + Timeout_;
  uint32_t Failures = 0;
  while (true) {
    StoreAnswer Answer = callWithBackoff(Call, Failures);
    const bool Retryable = Answer.Status == StoreStatus::Busy ||
                           Answer.Status == StoreStatus::Lost ||
                           Answer.Status == StoreStatus::NotSent;
    if (!Retryable || SystemClock().now() >= End)
      return Answer;
  }
}

WriteResult Platform::write(StoreCall Call) {
  Call.Writer = fmt::format("cli.{}.{:x}.{}", getpid(), Seed_, ++WriteCount_);
  ObjectWrite Write(std::move(Call), SystemClock().now() + Timeout_);
  uint32_t Failures = 0;
  while (true) {
    const StoreAnswer Answer = callWithBackoff(Write.nextCall(), Failures);
    if (auto Result = Write.onAnswer(Answer, SystemClock().now()))
      return *std::move(Result);
  }
}

int reportFailure(const StoreAnswer &Answer) {
  fmt::print(stderr, "the platform call failed: {}{}{}\n", name(Answer.Status),
             Answer.Detail.empty() ? "" : ", ", Answer.Detail);
  switch (Answer.Status) {
  case StoreStatus::Forbidden:
  case StoreStatus::Busy:
    return Refused;
  case StoreStatus::NotSent:
  case StoreStatus::Lost:
    return Unreachable;
  default:
    return Failed;
  }
}

int exitCodeOf(WriteOutcome Outcome) {
  switch (Outcome) {
  case WriteOutcome::Written:
    return Success;
  case WriteOutcome::Conflict:
    return Conflict;
  case WriteOutcome::Refused:
    return Refused;
  case WriteOutcome::Unknown:
    return Unreachable;
  }
  return Failed;
}

} // namespace dragonflystall::cli
