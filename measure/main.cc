// Runs the named experiments, or all of them if none is named.

#include <filesystem>
#include <iostream>
#include <map>

#include <boost/program_options.hpp>

#include "measure/figures.h"

namespace options = boost::program_options;

int main(int argc, char **argv)
{
    using experiment = void (*)(measure::report &);
    // The number in front of each name sets the order in which the experiments run.
    const std::map<std::string, experiment> experiments
        = {{"1-quality", measure::measureQuality},    {"2-balance", measure::measureBalance},
           {"3-limits", measure::measureLimits},      {"4-overload", measure::measureOverload},
           {"5-path", measure::measureRequestPath},   {"6-control", measure::measureControlPlane},
           {"7-engines", measure::measureHttpEngines}};
    options::options_description description("goldcrest_measure [EXPERIMENT...]");
    description.add_options()("help", "show this text")(
        "folder", options::value<std::string>()->default_value("build/measure"),
        "output folder for CSV files and plots")("experiment",
                                                 options::value<std::vector<std::string>>());
    options::positional_options_description positions;
    positions.add("experiment", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv)
                           .options(description)
                           .positional(positions)
                           .run(),
                       values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n' << description;
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    std::vector<std::string> wanted;
    if (values.count("experiment") > 0)
        wanted = values["experiment"].as<std::vector<std::string>>();
    const std::string folder = values["folder"].as<std::string>();
    std::filesystem::create_directories(folder);
    for (const auto &[name, run] : experiments) {
        const std::string shortName = name.substr(2);
        if (!wanted.empty() && std::find(wanted.begin(), wanted.end(), shortName) == wanted.end())
            continue;
        measure::report figures;
        run(figures);
        figures.write(folder, shortName);
    }
    return 0;
}
