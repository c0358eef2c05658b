#ifndef GOLDCRESTDECK_RECENT_VALUES_H_
#define GOLDCRESTDECK_RECENT_VALUES_H_

/// \file
/// The most recent values of a quantity, for its quantiles.

#include <algorithm>
#include <cstddef>
#include <vector>

namespace goldcrestdeck {

class recent_values
{
public:
    explicit recent_values(std::size_t capacity)
        : m_capacity(capacity)
    { }

    /// Adds a value, in place of the oldest one if there are as many as the capacity.
    void add(double value)
    {
        if (m_values.size() < m_capacity)
            m_values.push_back(value);
        else
            m_values[m_next] = value;
        m_next = (m_next + 1) % m_capacity;
    }

    std::size_t count() const { return m_values.size(); }

    /// The smallest value that at least \a fraction of the values do not exceed; 0 if there are
    /// none.
    double quantile(double fraction) const
    {
        if (m_values.empty())
            return 0;
        std::vector<double> sorted = m_values;
        const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
        const auto at
            = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(rank, sorted.size() - 1));
        std::nth_element(sorted.begin(), at, sorted.end());
        return *at;
    }

private:
    std::size_t m_capacity;
    std::vector<double> m_values;
    std::size_t m_next = 0;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_RECENT_VALUES_H_
