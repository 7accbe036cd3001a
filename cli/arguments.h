// Parsing of a command's arguments.
#ifndef DRAGONFLYSTALL_CLI_ARGUMENTS_H
#define DRAGONFLYSTALL_CLI_ARGUMENTS_H

#include "command.h"

#include <boost/program_options.hpp>
#include <tl/expected.hpp>

namespace dragonflystall::cli {

/// The arguments by name. The error is the code to exit with, after the help
/// text or the reason was printed.
tl::expected<boost::program_options::variables_map, int>
parseArguments(const Arguments &Args,
               const boost::program_options::options_description &Known,
               const boost::program_options::positional_options_description
                   &Positions = {});

} // namespace dragonflystall::cli

#endif
