#ifndef MEASURE_FIGURES_H_
#define MEASURE_FIGURES_H_

/// \file
/// Results of the experiments, written as text lines, CSV and an SVG plot.

#include <string>
#include <vector>

namespace measure {

/// One result: a metric with its value in each run, usually one run per seed.
struct figure {
    std::string name;
    std::vector<double> values;
    std::string unit;
    double target = 0; ///< Bound on the median: an upper one, unless isLowerBound.
    bool hasTarget = false;
    bool isLowerBound = false;
};

double median(std::vector<double> values);
double percentile(std::vector<double> values, double share);

class report
{
public:
    /// Adds a figure and prints it at once.
    void add(const figure &result);
    void add(const std::string &name, const std::vector<double> &values, const std::string &unit);
    void addAtMost(const std::string &name, const std::vector<double> &values,
                   const std::string &unit, double target);
    void addAtLeast(const std::string &name, const std::vector<double> &values,
                    const std::string &unit, double target);

    /// Writes NAME.csv and NAME.svg into \a folder.
    void write(const std::string &folder, const std::string &name) const;

private:
    std::vector<figure> m_figures;
};

// The experiments. Each adds its figures to the report.
void measureQuality(report &out);
void measureBalance(report &out);
void measureLimits(report &out);
void measureOverload(report &out);
void measureRequestPath(report &out);
void measureControlPlane(report &out);
void measureHttpEngines(report &out);

} // namespace measure

#endif // MEASURE_FIGURES_H_
