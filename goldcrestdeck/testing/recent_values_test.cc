#include "goldcrestdeck/recent_values.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace goldcrestdeck {
namespace {

RC_GTEST_PROP(recent_values, quantile_is_that_of_the_last_values_sorted, ())
{
    const auto capacity = *rc::gen::inRange<std::size_t>(1, 20);
    const auto values
        = *rc::gen::nonEmpty(rc::gen::container<std::vector<double>>(rc::gen::inRange(0, 100)));
    recent_values recent(capacity);
    for (const double value : values)
        recent.add(value);
    const std::size_t kept = std::min(capacity, values.size());
    std::vector<double> sorted(values.end() - static_cast<std::ptrdiff_t>(kept), values.end());
    std::sort(sorted.begin(), sorted.end());
    RC_ASSERT(recent.count() == kept);
    RC_ASSERT(recent.quantile(0) == sorted.front());
    RC_ASSERT(recent.quantile(1) == sorted.back());
    RC_ASSERT(recent.quantile(0.5) == sorted[kept / 2]);
}

TEST(recent_values, quantile_of_no_values_is_0)
{
    EXPECT_EQ(0, recent_values(3).quantile(0.5));
}

} // namespace
} // namespace goldcrestdeck
