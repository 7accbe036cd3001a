// `dragonflystall explain`: the history of one flow, from the logs of several
// processes.
#include "arguments.h"

#include "observe/explain.h"

#include <fmt/format.h>
#include <fstream>

namespace dragonflystall::cli {

namespace {

constexpr unsigned DefaultAroundSeconds = 2;

/// Returns whether the file could be read.
bool readLog(const std::string &Path, std::vector<LogRecord> &Records) {
  std::ifstream File(Path);
  if (!File)
    return false;
  for (std::string Line; std::getline(File, Line);)
    if (auto Record = parseLogRecord(Line))
      Records.push_back(std::move(*Record));
  return true;
}

} // namespace

int runExplain(const Arguments &Args) {
  namespace po = boost::program_options;
  po::options_description Known(
      "usage: dragonflystall explain FLOW LOG...\n\n"
      "Prints in order the decisions of the processes on a flow, and the "
      "changes of\ntheir view of the cluster around that time. FLOW is "
      "CALLER:PORT>ROUTE:PORT, as\nin the logs.\n");
  auto Add = Known.add_options();
  Add("help", "print this text");
  Add("flow", po::value<std::string>(), "the flow");
  Add("log", po::value<std::vector<std::string>>(), "files with log lines");
  Add("around", po::value<unsigned>()->default_value(DefaultAroundSeconds),
      "seconds before and after the flow's lines");
  po::positional_options_description Positions;
  Positions.add("flow", 1).add("log", -1);
  const auto Values = parseArguments(Args, Known, Positions);
  if (!Values)
    return Values.error();
  if (!Values->count("flow") || !Values->count("log")) {
    fmt::print(stderr, "explain: FLOW and a LOG are required\n");
    return BadUsage;
  }
  std::vector<LogRecord> Records;
  for (const std::string &Path :
       (*Values)["log"].as<std::vector<std::string>>())
    if (!readLog(Path, Records)) {
      fmt::print(stderr, "explain: cannot read {}\n", Path);
      return BadUsage;
    }
  const std::chrono::seconds Around((*Values)["around"].as<unsigned>());
  const auto Story =
      explainFlow(Records, (*Values)["flow"].as<std::string>(), Around);
  for (const LogRecord &Record : Story)
    fmt::print("{}\n", Record.Text);
  return Story.empty() ? Failed : Success;
}

} // namespace dragonflystall::cli
