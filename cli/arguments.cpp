// Parses with Boost.Program_options. --help is handled before the check for
// missing arguments.
#include "arguments.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

namespace dragonflystall::cli {

namespace po = boost::program_options;

tl::expected<po::variables_map, int>
parseArguments(const Arguments &Args, const po::options_description &Known,
               const po::positional_options_description &Positions) {
  po::variables_map Given;
  try {
    po::store(po::command_line_parser(Args)
                  .options(Known)
                  .positional(Positions)
                  .run(),
              Given);
    if (Given.count("help") != 0) {
      fmt::print("{}", fmt::streamed(Known));
      return tl::unexpected(int{Success});
    }
    po::notify(Given);
  } catch (const po::error &E) {
    fmt::print(stderr, "{}\n", E.what());
    return tl::unexpected(int{BadUsage});
  }
  return Given;
}

} // namespace dragonflystall::cli
