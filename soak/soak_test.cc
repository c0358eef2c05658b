// Short runs of the fault-injection soak test with fixed seeds. A seed that has failed is added to
// the list.

#include <filesystem>

#include <gtest/gtest.h>
#include <stdlib.h>

#include "soak/soak_run.h"

namespace soak {
namespace {

class soak_seed : public ::testing::TestWithParam<std::uint64_t>
{ };

TEST_P(soak_seed, invariants_hold_under_injected_faults)
{
    soak_options options;
    options.seed = GetParam();
    options.faultDuration = std::chrono::milliseconds(5000);
    char name[] = "/tmp/goldcrest-soak-XXXXXX";
    options.folder = mkdtemp(name);
    const soak_report report = runSoak(options);
    EXPECT_TRUE(report.violations.empty())
        << ::testing::PrintToString(report.violations) << "\nlogs in " << options.folder
        << "\nfaults: " << ::testing::PrintToString(report.faults);
    if (report.violations.empty())
        std::filesystem::remove_all(options.folder);
}

INSTANTIATE_TEST_SUITE_P(fixed, soak_seed, ::testing::Values(1, 2, 3));

} // namespace
} // namespace soak
