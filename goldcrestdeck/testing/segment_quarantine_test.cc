#include "goldcrestdeck/segment_quarantine.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "goldcrestdeck/json.h"

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class segment_quarantine_fixture : public ::testing::Test
{
protected:
    /// An instance crashes when it begins to respond to the request.
    void crash(const std::string &instance, const std::string &request,
               const std::vector<std::string> &segments, const std::string &lastSegment = "")
    {
        m_time.advance(milliseconds(300));
        const time_point sentAt = m_time.now();
        m_time.advance(milliseconds(50));
        m_quarantine.recordUnansweredSend({instance, request, segments, {}, lastSegment},
                                          m_time.now());
        m_quarantine.recordConnectionLost(instance, sentAt, m_time.now());
        m_quarantine.recordConnectionRefused(instance, m_time.now());
    }

    bool isQuarantined(const std::string &segment)
    {
        return m_quarantine.find({segment}, "", m_time.now()).has_value();
    }

    manual_clock m_time;
    segment_quarantine m_quarantine{quarantine_parameters()};
};

TEST_F(segment_quarantine_fixture, segment_of_three_crashes_is_quarantined_alone)
{
    crash("i1", "r1", {"common", "deadly"});
    crash("i2", "r1", {"common", "deadly"});
    EXPECT_FALSE(isQuarantined("deadly"));
    m_quarantine.recordAnswered({"common", "sound"}, "", m_time.now());
    crash("i3", "r2", {"common", "deadly"});
    EXPECT_TRUE(isQuarantined("deadly"));
    EXPECT_FALSE(isQuarantined("common"));
    EXPECT_FALSE(isQuarantined("sound"));
    const quarantine_changes changes = m_quarantine.takeChanges(m_time.now());
    ASSERT_EQ(1U, changes.added.size());
    EXPECT_EQ(3U, changes.added[0].crashes);
    EXPECT_EQ(2U, changes.added[0].requests);
}

TEST_F(segment_quarantine_fixture,
       repeated_request_stays_refused_when_others_with_its_topic_are_answered)
{
    crash("i1", "r1", {"common", "topic"}, "own");
    crash("i2", "r1", {"common", "topic"}, "own");
    // The client's repetition has an id of its own.
    crash("i3", "r2", {"common", "topic"}, "own");
    EXPECT_TRUE(m_quarantine.find({"common", "topic"}, "own", m_time.now()));
    m_quarantine.recordAnswered({"common", "topic"}, "other", m_time.now());
    EXPECT_FALSE(m_quarantine.find({"common", "topic"}, "other", m_time.now()));
    const auto found = m_quarantine.find({"common", "topic"}, "own", m_time.now());
    ASSERT_TRUE(found);
    EXPECT_EQ("own", found->segment);
}

TEST_F(segment_quarantine_fixture,
       shared_segment_is_quarantined_before_the_last_ones_of_its_requests)
{
    m_quarantine.recordAnswered({"common"}, "sound", m_time.now());
    crash("i1", "r1", {"common", "deadly"}, "own");
    crash("i2", "r1", {"common", "deadly"}, "own");
    crash("i3", "r2", {"common", "deadly"}, "own");
    const auto found = m_quarantine.find({"common", "deadly"}, "another", m_time.now());
    ASSERT_TRUE(found);
    EXPECT_EQ("deadly", found->segment);
}

TEST_F(segment_quarantine_fixture, requests_cut_beside_a_deadly_one_are_not_quarantined)
{
    for (int i = 0; i < 6; ++i) {
        const std::string instance = "i" + std::to_string(i);
        // All are cut at the same time; a client repeats the same sound request each time.
        const std::vector<std::string> cut{"deadly", "repeated", "other" + std::to_string(i)};
        m_time.advance(milliseconds(300));
        for (const std::string &digest : cut)
            m_quarantine.recordUnansweredSend(
                {instance, digest + std::to_string(i), {}, {}, digest}, m_time.now());
        m_quarantine.recordConnectionLost(instance, m_time.now() - milliseconds(50), m_time.now());
        m_quarantine.recordConnectionRefused(instance, m_time.now());
        if (i == 0)
            m_quarantine.recordAnswered({}, "repeated", m_time.now());
    }
    EXPECT_TRUE(m_quarantine.find({}, "deadly", m_time.now()));
    EXPECT_FALSE(m_quarantine.find({}, "repeated", m_time.now()));
    EXPECT_FALSE(m_quarantine.find({}, "other0", m_time.now()));
}

TEST_F(segment_quarantine_fixture, single_request_is_no_evidence_against_its_segments)
{
    for (const char *instance : {"i1", "i2", "i3", "i4"})
        crash(instance, "r1", {"common", "topic"});
    EXPECT_FALSE(isQuarantined("common"));
    EXPECT_FALSE(isQuarantined("topic"));
}

TEST_F(segment_quarantine_fixture, segment_that_is_answered_is_released)
{
    for (int i = 1; i <= 3; ++i)
        crash("i" + std::to_string(i), "r" + std::to_string(i), {"common"});
    EXPECT_TRUE(isQuarantined("common"));
    m_time.advance(milliseconds(10));
    m_quarantine.recordAnswered({"common"}, "", m_time.now());
    EXPECT_FALSE(isQuarantined("common"));
    EXPECT_EQ(std::vector<std::string>(), m_quarantine.takeChanges(m_time.now()).removed);
}

TEST_F(segment_quarantine_fixture, segment_that_occurs_beside_the_deadly_one_is_not_quarantined)
{
    crash("i1", "r1", {"common", "topic", "deadly"});
    crash("i2", "r2", {"common", "topic", "deadly"});
    crash("i3", "r3", {"common", "other", "deadly"});
    crash("i4", "r4", {"common", "topic", "deadly"});
    m_quarantine.recordAnswered({"common"}, "", m_time.now());
    EXPECT_TRUE(isQuarantined("deadly"));
    EXPECT_FALSE(isQuarantined("topic"));
    EXPECT_FALSE(isQuarantined("common"));
}

TEST_F(segment_quarantine_fixture, deadly_segment_at_the_start_of_a_prompt_is_found)
{
    crash("i1", "r1", {"deadly", "topic-1"});
    crash("i2", "r2", {"deadly", "topic-2"});
    crash("i3", "r3", {"deadly", "topic-2"});
    EXPECT_TRUE(isQuarantined("deadly"));
    EXPECT_FALSE(isQuarantined("topic-2"));
}

TEST_F(segment_quarantine_fixture, instance_that_responds_again_has_not_crashed)
{
    for (int i = 1; i <= 3; ++i)
        crash("i" + std::to_string(i), "r" + std::to_string(i), {"common"});
    m_time.advance(milliseconds(200));
    m_quarantine.recordResponseBytes("i2", m_time.now());
    EXPECT_FALSE(isQuarantined("common"));
}

TEST_F(segment_quarantine_fixture, bytes_read_just_after_a_crash_do_not_hide_it)
{
    for (int i = 1; i <= 3; ++i) {
        crash("i" + std::to_string(i), "r" + std::to_string(i), {"deadly"});
        m_time.advance(milliseconds(5));
        m_quarantine.recordResponseBytes("i" + std::to_string(i), m_time.now());
    }
    EXPECT_TRUE(isQuarantined("deadly"));
}

TEST_F(segment_quarantine_fixture, instance_that_accepts_connections_has_not_crashed)
{
    for (int i = 1; i <= 5; ++i) {
        const std::string instance = "i" + std::to_string(i);
        m_time.advance(milliseconds(300));
        m_quarantine.recordUnansweredSend({instance, "r" + instance, {"common"}, {}, "own"},
                                          m_time.now());
        m_quarantine.recordConnectionLost(instance, m_time.now() - milliseconds(50), m_time.now());
        EXPECT_TRUE(m_quarantine.isUnverified(instance));
        m_quarantine.recordConnectionAccepted(instance, m_time.now() + milliseconds(50));
        EXPECT_FALSE(m_quarantine.isUnverified(instance));
        // Refused later for another reason: nothing says that it crashed on the request.
        m_quarantine.recordConnectionRefused(instance, m_time.now() + milliseconds(400));
    }
    EXPECT_FALSE(isQuarantined("common"));
    EXPECT_FALSE(m_quarantine.find({}, "own", m_time.now()));
    EXPECT_FALSE(m_quarantine.reportDueAt());
}

TEST_F(segment_quarantine_fixture, connection_opened_before_the_cut_says_nothing_of_it)
{
    const time_point openedAt = m_time.now();
    m_time.advance(milliseconds(10));
    m_quarantine.recordUnansweredSend({"i1", "r1", {"deadly"}, {}}, m_time.now());
    m_quarantine.recordConnectionAccepted("i1", openedAt);
    EXPECT_TRUE(m_quarantine.isUnverified("i1"));
}

TEST_F(segment_quarantine_fixture, presumed_crash_counts_at_once_and_is_not_reported)
{
    for (int i = 1; i <= 3; ++i) {
        const std::string instance = "i" + std::to_string(i);
        m_time.advance(milliseconds(300));
        m_quarantine.recordUnansweredSend({instance, "r" + instance, {"common"}, {}}, m_time.now());
        m_quarantine.recordConnectionLost(instance, m_time.now() - milliseconds(50), m_time.now());
    }
    EXPECT_TRUE(isQuarantined("common"));
    EXPECT_FALSE(m_quarantine.reportDueAt());
    EXPECT_TRUE(m_quarantine.makeReport(m_time.now()).suspects.empty());
    m_time.advance(quarantine_parameters().confirmationTime + seconds(2));
    EXPECT_FALSE(isQuarantined("common"));
}

TEST_F(segment_quarantine_fixture, report_without_news_is_not_made_again)
{
    crash("i1", "r1", {"common", "deadly"});
    ASSERT_TRUE(m_quarantine.reportDueAt());
    m_time.advance(seconds(1));
    ASSERT_TRUE(m_quarantine.takeReport(m_time.now()));
    EXPECT_FALSE(m_quarantine.reportDueAt());
    m_quarantine.recordConnectionRefused("i1", m_time.now());
    m_time.advance(seconds(1));
    EXPECT_FALSE(m_quarantine.takeReport(m_time.now()));
    crash("i2", "r2", {"common", "deadly"});
    m_time.advance(seconds(1));
    const auto next = m_quarantine.takeReport(m_time.now());
    ASSERT_TRUE(next);
    EXPECT_EQ(2U, next->suspects.size());
}

TEST_F(segment_quarantine_fixture, answers_after_the_first_are_not_reported_again)
{
    for (int i = 1; i <= 4; ++i)
        crash("i" + std::to_string(i), "r" + std::to_string(i), {"common"});
    m_quarantine.takeReport(m_time.now());
    m_quarantine.recordAnswered({"common"}, "", m_time.now());
    EXPECT_FALSE(isQuarantined("common"));
    m_time.advance(seconds(1));
    ASSERT_TRUE(m_quarantine.takeReport(m_time.now()));
    for (int i = 0; i < 100; ++i) {
        m_time.advance(milliseconds(100));
        m_quarantine.recordAnswered({"common"}, "", m_time.now());
        EXPECT_FALSE(isQuarantined("common"));
        EXPECT_FALSE(m_quarantine.reportDueAt());
    }
    // A single crash does not put the segment in quarantine anywhere.
    crash("i5", "r5", {"common"});
    m_quarantine.takeReport(m_time.now() + seconds(1));
    m_quarantine.recordAnswered({"common"}, "", m_time.now());
    EXPECT_FALSE(isQuarantined("common"));
    EXPECT_FALSE(m_quarantine.reportDueAt());
}

TEST_F(segment_quarantine_fixture, answer_that_another_host_has_reported_is_not_reported)
{
    for (int i = 1; i <= 3; ++i)
        crash("i" + std::to_string(i), "r" + std::to_string(i), {"common"});
    m_quarantine.takeReport(m_time.now());
    m_quarantine.setAnswerDelay(seconds(2));
    m_quarantine.recordAnswered({"common"}, "", m_time.now());
    EXPECT_FALSE(isQuarantined("common"));
    ASSERT_TRUE(m_quarantine.reportDueAt());
    EXPECT_GE(*m_quarantine.reportDueAt(), m_time.now() + seconds(2));
    m_time.advance(seconds(1));
    m_quarantine.merge({{}, {{"common", milliseconds(900)}}}, report_origin::otherHost,
                       m_time.now());
    m_time.advance(seconds(1) + milliseconds(100));
    EXPECT_FALSE(m_quarantine.takeReport(m_time.now()));
    EXPECT_FALSE(isQuarantined("common"));
}

TEST_F(segment_quarantine_fixture, instances_lost_together_are_no_evidence)
{
    const time_point sentAt = m_time.now();
    m_time.advance(milliseconds(500));
    for (int i = 1; i <= 6; ++i) {
        const std::string instance = "i" + std::to_string(i);
        m_quarantine.recordUnansweredSend({instance, "r" + instance, {"common"}, {}}, m_time.now());
        m_quarantine.recordConnectionLost(instance, sentAt, m_time.now());
        m_quarantine.recordConnectionRefused(instance, m_time.now());
    }
    EXPECT_FALSE(isQuarantined("common"));
    EXPECT_TRUE(m_quarantine.makeReport(m_time.now()).suspects.empty());
}

TEST_F(segment_quarantine_fixture, send_closed_by_this_host_counts_once_the_instance_is_gone)
{
    for (int i = 1; i <= 3; ++i) {
        const std::string instance = "i" + std::to_string(i);
        m_quarantine.recordUnansweredSend({instance, "r" + instance, {"deadly"}, {}}, m_time.now());
        m_time.advance(milliseconds(400));
    }
    EXPECT_FALSE(isQuarantined("deadly"));
    for (int i = 1; i <= 3; ++i)
        m_quarantine.recordConnectionRefused("i" + std::to_string(i), m_time.now());
    EXPECT_TRUE(isQuarantined("deadly"));
}

TEST_F(segment_quarantine_fixture, evidence_expires_after_its_lifetime)
{
    for (int i = 1; i <= 3; ++i)
        crash("i" + std::to_string(i), "r" + std::to_string(i), {"deadly"});
    const auto found = m_quarantine.find({"deadly"}, "", m_time.now());
    ASSERT_TRUE(found);
    EXPECT_EQ(m_time.now() + quarantine_parameters().lifetime, found->until);
    m_time.advance(quarantine_parameters().lifetime + seconds(2));
    EXPECT_FALSE(isQuarantined("deadly"));
}

TEST_F(segment_quarantine_fixture, reports_of_hosts_add_up)
{
    segment_quarantine other{quarantine_parameters()};
    crash("i1", "r1", {"common", "deadly"});
    crash("i2", "r2", {"common", "deadly"});
    ASSERT_TRUE(m_quarantine.reportDueAt());
    m_time.advance(seconds(1));
    const crash_report report
        = decodeCrashReport(encodeCrashReport(m_quarantine.makeReport(m_time.now())));
    EXPECT_EQ(2U, report.suspects.size());
    other.merge(report, report_origin::otherHost, m_time.now());
    other.merge(report, report_origin::otherHost, m_time.now());
    EXPECT_FALSE(other.find({"deadly"}, "", m_time.now()));
    const time_point sentAt = m_time.now();
    m_time.advance(milliseconds(20));
    other.recordUnansweredSend({"i3", "r3", {"common", "deadly"}, {}}, m_time.now());
    other.recordConnectionLost("i3", sentAt, m_time.now());
    other.recordConnectionRefused("i3", m_time.now());
    EXPECT_TRUE(other.find({"deadly"}, "", m_time.now()));
    // Reports of other hosts are not repeated, those of an earlier process are.
    EXPECT_EQ(1U, other.makeReport(m_time.now()).suspects.size());
    segment_quarantine restarted{quarantine_parameters()};
    restarted.merge(report, report_origin::earlierProcess, m_time.now());
    EXPECT_EQ(2U, restarted.makeReport(m_time.now()).suspects.size());
}

TEST_F(segment_quarantine_fixture, answer_at_one_host_clears_a_segment_at_another)
{
    segment_quarantine other{quarantine_parameters()};
    for (int i = 1; i <= 3; ++i)
        crash("i" + std::to_string(i), "r" + std::to_string(i), {"common"});
    other.merge(m_quarantine.makeReport(m_time.now()), report_origin::otherHost, m_time.now());
    EXPECT_TRUE(other.find({"common"}, "", m_time.now()));
    m_time.advance(milliseconds(100));
    other.recordAnswered({"common"}, "", m_time.now()); // The end of a send that was under way.
    EXPECT_FALSE(other.find({"common"}, "", m_time.now()));
    ASSERT_TRUE(other.reportDueAt());
    const crash_report report = other.makeReport(m_time.now());
    ASSERT_EQ(1U, report.answered.size());
    m_quarantine.merge(report, report_origin::otherHost, m_time.now());
    EXPECT_FALSE(isQuarantined("common"));
}

TEST(crash_report, malformed_or_excessive_report_throws)
{
    EXPECT_THROW(decodeCrashReport("[]"), json_error);
    EXPECT_THROW(decodeCrashReport(R"({"suspects": [{}], "answered": []})"), json_error);
    crash_report report;
    report.suspects.assign(maxReportedSuspects + 1, {"i", "r", {"s"}, milliseconds(1)});
    EXPECT_THROW(decodeCrashReport(encodeCrashReport(report)), json_error);
    report.suspects.resize(maxReportedSuspects);
    EXPECT_EQ(report, decodeCrashReport(encodeCrashReport(report)));
}

/// Hosts that share their reports send random prompts of which some contain the deadly segment. The
/// oracle counts evidence naively.
RC_GTEST_PROP(segment_quarantine_model, deadly_segment_is_found_and_answered_ones_stay_free, ())
{
    struct crash_event {
        std::string instance;
        std::string request;
        std::vector<std::string> segments;
        time_point at;
    };
    manual_clock time;
    const int hosts = *rc::gen::inRange(1, 6);
    std::vector<segment_quarantine> fleet(hosts, segment_quarantine{quarantine_parameters()});
    std::vector<crash_event> crashes;
    std::map<std::string, time_point> answered;
    int nextInstance = 0;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        time.advance(milliseconds(*rc::gen::inRange(1, 400)));
        segment_quarantine &host = fleet[*rc::gen::inRange(0, hosts)];
        std::vector<std::string> segments = {"first-" + std::to_string(*rc::gen::inRange(0, 2)),
                                             "topic-" + std::to_string(*rc::gen::inRange(0, 4))};
        const bool isDeadly = *rc::gen::inRange(0, 3) == 0;
        if (isDeadly)
            segments.insert(segments.begin() + *rc::gen::inRange(0, 3), "deadly");
        const std::string request = "r" + std::to_string(step);
        const time_point sentAt = time.now();
        if (host.find(segments, "", sentAt))
            continue;
        time.advance(milliseconds(*rc::gen::inRange(1, 50)));
        const std::string instance = "i" + std::to_string(nextInstance);
        if (isDeadly) {
            ++nextInstance;
            host.recordUnansweredSend({instance, request, segments, {}}, time.now());
            host.recordConnectionLost(instance, sentAt, time.now());
            host.recordConnectionRefused(instance, time.now());
            crashes.push_back({instance, request, segments, time.now()});
        } else {
            host.recordResponseBytes(instance, time.now());
            host.recordAnswered(segments, "", time.now());
            for (const std::string &segment : segments)
                answered[segment] = time.now();
        }
        for (segment_quarantine &reporter : fleet) {
            const crash_report report = reporter.makeReport(time.now());
            for (segment_quarantine &reader : fleet) {
                if (&reader != &reporter)
                    reader.merge(report, report_origin::otherHost, time.now());
            }
        }
        std::map<std::string, std::set<std::string>> instances;
        for (const crash_event &event : crashes) {
            for (const std::string &segment : event.segments) {
                if (answered.count(segment) == 0 || answered[segment] < event.at)
                    instances[segment].insert(event.instance);
            }
        }
        for (segment_quarantine &checked : fleet) {
            bool isAnyQuarantined = false;
            for (const auto &entry : instances) {
                const bool isQuarantined = checked.find({entry.first}, "", time.now()).has_value();
                isAnyQuarantined = isAnyQuarantined || isQuarantined;
                RC_ASSERT(!isQuarantined
                          || entry.second.size() >= quarantine_parameters().minCrashes);
            }
            RC_ASSERT(isAnyQuarantined
                      || instances["deadly"].size() < quarantine_parameters().minCrashes);
        }
    }
    // Each of the two other segments of a prompt can be taken for the deadly one until a crash
    // without it.
    RC_ASSERT(crashes.size() <= quarantine_parameters().minCrashes + 2);
}

} // namespace
} // namespace goldcrestdeck
