// goldcrest_soak: runs the fault-injection soak test from the command line. Exit codes: 0 no
// invariant was violated, 1 a run had violations or failed, 2 usage error.

#include <filesystem>
#include <iostream>

#include <boost/program_options.hpp>

#include "soak/soak_run.h"

namespace {

namespace options = boost::program_options;

void print(const soak::soak_report &report)
{
    for (const auto &entry : report.responseCounts)
        std::cout << "  " << entry.first.first << ' ' << entry.first.second << ": " << entry.second
                  << '\n';
    std::cout << "  " << report.bindingEvacuations << " of " << report.evacuations
              << " evacuations bound all hosts, " << report.coldPeriods << " cold periods\n";
    if (report.violations.empty())
        return;
    for (const std::string &fault : report.faults)
        std::cout << "  " << fault << '\n';
    for (const std::string &violation : report.violations)
        std::cout << "  BROKEN " << violation << '\n';
}

int run(int argc, char **argv)
{
    soak::soak_options soakOptions;
    std::uint64_t seed = 1;
    unsigned runs = 1;
    unsigned seconds = 8;
    std::string folder;
    options::options_description description(
        "goldcrest_soak: router processes under injected faults");
    description.add_options()("help", "show this text")(
        "seed", options::value(&seed)->default_value(1), "seed of the first run")(
        "runs", options::value(&runs)->default_value(1), "number of runs, with consecutive seeds")(
        "seconds", options::value(&seconds)->default_value(8),
        "duration of the fault phase of each run")(
        "hosts", options::value(&soakOptions.hosts)->default_value(3),
        "number of router processes")("callers",
                                      options::value(&soakOptions.clientCount)->default_value(8),
                                      "number of concurrent clients")(
        "folder", options::value(&folder)->default_value("build/soak"),
        "directory for the logs of each run");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    options::notify(values);
    soakOptions.faultDuration = std::chrono::seconds(seconds);
    int failedRuns = 0;
    for (unsigned i = 0; i < runs; ++i) {
        soakOptions.seed = seed + i;
        soakOptions.folder = folder + "/" + std::to_string(soakOptions.seed);
        std::filesystem::remove_all(soakOptions.folder);
        std::filesystem::create_directories(soakOptions.folder);
        const soak::soak_report report = soak::runSoak(soakOptions);
        std::cout << "seed " << soakOptions.seed << ": "
                  << (report.violations.empty() ? "held" : "BROKEN, logs in " + soakOptions.folder)
                  << std::endl;
        print(report);
        failedRuns += report.violations.empty() ? 0 : 1;
    }
    std::cout << runs - static_cast<unsigned>(failedRuns) << " runs held, " << failedRuns
              << " broken\n";
    return failedRuns == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const options::error &error) {
        std::cerr << "goldcrest_soak: " << error.what() << '\n';
        return 2;
    } catch (const std::exception &error) {
        std::cerr << "goldcrest_soak: " << error.what() << '\n';
        return 1;
    }
}
