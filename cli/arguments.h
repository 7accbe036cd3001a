// Parsing of a command's arguments.
#ifndef DRAGONFLYSTALL_CLI_ARGUMENTS_H
#define DRAGONFLYSTALL_CLI_ARGUMENTS_H

#include "command.h"

#include <boost/program_options.hpp>
#include <tl/expected.hpp>

namespace dragonflystall::cli {

/// Returns the arguments by name. On --help or bad usage it prints the help or
/// the reason and returns the exit code as the error.
tl::expected<boost::program_options::variables_map, int>
parseArguments(const Arguments &Args,
               const boost::program_options::options_description &Known,
               const boost::program_options::positional_options_description
                   &Positions = {});

} // namespace dragonflystall::cli

#endif
