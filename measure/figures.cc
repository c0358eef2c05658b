#include "measure/figures.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>

namespace measure {

namespace {

constexpr int rowHeight = 22;
constexpr int labelWidth = 330;
constexpr int barWidth = 300;

bool meetsTarget(const figure &result)
{
    const double value = median(result.values);
    return result.isLowerBound ? value >= result.target : value <= result.target;
}

std::string verdictOf(const figure &result)
{
    if (!result.hasTarget)
        return "";
    return meetsTarget(result) ? "met" : "missed";
}

/// \returns a bar with its labels. The bar shows the figure relative to its target, so that
/// different units fit one plot.
std::string svgRow(const figure &result, int index)
{
    const int y = index * rowHeight + 4;
    const double ratio = result.target > 0 ? median(result.values) / result.target : 0;
    const int length = static_cast<int>(std::min(2.0, std::max(0.0, ratio)) * barWidth / 2);
    const std::string colour = meetsTarget(result) ? "#3a7d44" : "#b3392f";
    char text[64];
    std::snprintf(text, sizeof text, "%.4g %s (target %.4g)", median(result.values),
                  result.unit.c_str(), result.target);
    return "<text x=\"4\" y=\"" + std::to_string(y + 13) + "\">" + result.name + "</text><rect x=\""
        + std::to_string(labelWidth) + "\" y=\"" + std::to_string(y) + "\" width=\""
        + std::to_string(length) + "\" height=\"16\" fill=\"" + colour + "\"/><text x=\""
        + std::to_string(labelWidth + barWidth + 10) + "\" y=\"" + std::to_string(y + 13) + "\">"
        + text + "</text>\n";
}

} // namespace

double median(std::vector<double> values)
{
    return percentile(std::move(values), 0.5);
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index
        = static_cast<std::size_t>(std::lround(share * static_cast<double>(values.size() - 1)));
    return values[index];
}

void report::add(const figure &result)
{
    m_figures.push_back(result);
    const auto [low, high] = std::minmax_element(result.values.begin(), result.values.end());
    std::printf("%s %.6g %s", result.name.c_str(), median(result.values), result.unit.c_str());
    if (result.values.size() > 1)
        std::printf(" (%.6g to %.6g over %zu runs)", *low, *high, result.values.size());
    if (result.hasTarget)
        std::printf(" target %s %.6g: %s", result.isLowerBound ? ">=" : "<=", result.target,
                    verdictOf(result).c_str());
    std::printf("\n");
    std::fflush(stdout);
}

void report::add(const std::string &name, const std::vector<double> &values,
                 const std::string &unit)
{
    add({name, values, unit, 0, false, false});
}

void report::addAtMost(const std::string &name, const std::vector<double> &values,
                       const std::string &unit, double target)
{
    add({name, values, unit, target, true, false});
}

void report::addAtLeast(const std::string &name, const std::vector<double> &values,
                        const std::string &unit, double target)
{
    add({name, values, unit, target, true, true});
}

void report::write(const std::string &folder, const std::string &name) const
{
    std::ofstream csv(folder + "/" + name + ".csv");
    csv << "name,median,low,high,unit,target,verdict\n";
    for (const figure &result : m_figures) {
        const auto [low, high] = std::minmax_element(result.values.begin(), result.values.end());
        csv << result.name << ',' << median(result.values) << ',' << *low << ',' << *high << ','
            << result.unit << ',';
        if (result.hasTarget)
            csv << (result.isLowerBound ? ">=" : "<=") << result.target;
        csv << ',' << verdictOf(result) << '\n';
    }
    std::ofstream svg(folder + "/" + name + ".svg");
    std::string rows;
    int count = 0;
    for (const figure &result : m_figures)
        if (result.hasTarget)
            rows += svgRow(result, count++);
    const int targetX = labelWidth + barWidth / 2;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"980\" height=\""
        << count * rowHeight + 8 << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << rows << "<line x1=\"" << targetX << "\" x2=\"" << targetX
        << "\" y1=\"0\" y2=\"100%\" stroke=\"black\" stroke-dasharray=\"3\"/>\n</svg>\n";
}

} // namespace measure
