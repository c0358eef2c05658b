// goldcrest_soak: runs of the fault soak by hand. Exit codes: 0 all promises held, 1 some did not,
// 2 usage.

#include <filesystem>
#include <iostream>

#include <boost/program_options.hpp>

#include "soak/soak_run.h"

namespace {

namespace options = boost::program_options;

void print(const soak::soak_report &report)
{
    for (const auto &entry : report.answers)
        std::cout << "  " << entry.first.first << ' ' << entry.first.second << ": " << entry.second
                  << '\n';
    if (report.violations.empty())
        return;
    for (const std::string &fault : report.faults)
        std::cout << "  " << fault << '\n';
    for (const std::string &violation : report.violations)
        std::cout << "  BROKEN " << violation << '\n';
}

int run(int argc, char **argv)
{
    soak::soak_options wanted;
    std::uint64_t seed = 1;
    unsigned runs = 1;
    unsigned seconds = 8;
    std::string folder;
    options::options_description visible("goldcrest_soak: routers under faults from outside");
    visible.add_options()("help", "show this text")("seed", options::value(&seed)->default_value(1),
                                                    "of the first run")(
        "runs", options::value(&runs)->default_value(1), "with this seed and the following ones")(
        "seconds", options::value(&seconds)->default_value(8), "of faults in each run")(
        "hosts", options::value(&wanted.hosts)->default_value(3), "router processes")(
        "callers", options::value(&wanted.callers)->default_value(8), "callers at once")(
        "folder", options::value(&folder)->default_value("build/soak"), "for the logs of each run");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, visible), values);
    if (values.count("help") > 0) {
        std::cout << visible;
        return 0;
    }
    options::notify(values);
    wanted.time = std::chrono::seconds(seconds);
    int broken = 0;
    for (unsigned i = 0; i < runs; ++i) {
        wanted.seed = seed + i;
        wanted.folder = folder + "/" + std::to_string(wanted.seed);
        std::filesystem::remove_all(wanted.folder);
        std::filesystem::create_directories(wanted.folder);
        const soak::soak_report report = soak::runSoak(wanted);
        std::cout << "seed " << wanted.seed << ": "
                  << (report.violations.empty() ? "held" : "BROKEN, logs in " + wanted.folder)
                  << std::endl;
        print(report);
        broken += report.violations.empty() ? 0 : 1;
    }
    std::cout << runs - static_cast<unsigned>(broken) << " runs held, " << broken << " broken\n";
    return broken == 0 ? 0 : 1;
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
