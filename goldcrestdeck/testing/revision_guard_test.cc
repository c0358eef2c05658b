#include "goldcrestdeck/revision_guard.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <ostream>

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t hostCount = 5;

std::string nameOf(std::size_t index)
{
    return "h" + std::to_string(index);
}

host_entry entryOf(std::size_t index)
{
    return {nameOf(index), "127.0.0.1:" + std::to_string(index + 1), "d"};
}

/// One random event. The meaning of \a kind is in guard_model::run().
struct step {
    int kind = 0;
    std::size_t a = 0;
    std::size_t b = 0;
    int ms = 0;
};

std::ostream &operator<<(std::ostream &out, const step &event)
{
    return out << '{' << event.kind << ',' << event.a << ',' << event.b << ',' << event.ms << '}';
}

/// Simulates hosts, a key-value service and operators, with delayed and lost messages, freezes,
/// restarts, clocks that run at different rates, and changes of voters. The oracle is the newest
/// revision that was reported to an operator as accepted.
class guard_model
{
public:
    guard_model()
    {
        config first;
        for (std::size_t i = 0; i < 3; ++i)
            first.voters.push_back(entryOf(i));
        write(first);
        for (std::size_t i = 0; i < hostCount; ++i) {
            m_hosts.push_back({nullptr, 1.0 + 0.004 * static_cast<double>(i) - 0.008, false});
            restart(i);
        }
    }

    void run(const step &event)
    {
        const std::size_t a = event.a % hostCount;
        const std::size_t b = event.b % hostCount;
        switch (event.kind) {
        case 0:
        case 1:
            m_elapsed += milliseconds(event.ms);
            break;
        case 2:
            sendRequest(a, hostCount);
            break;
        case 3:
            sendRequest(a, b);
            break;
        case 4:
            handleRequest(event.a);
            break;
        case 5:
            deliverReply(event.a);
            break;
        case 6:
            runQuorumRound(a);
            break;
        case 7:
            m_hosts[a].frozen = !m_hosts[a].frozen;
            break;
        case 8:
            edit(a);
            break;
        case 9:
            changeVoters(a, b);
            break;
        case 10:
            restart(a);
            break;
        case 11:
        case 12:
            exchange(a, b);
            break;
        case 13:
            exchange(a, hostCount);
            break;
        default:
            break;
        }
        recordAccepted();
    }

    /// Describes a host that would admit under a revision older than an accepted one; empty if
    /// none.
    std::string violation() const
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            const revision_guard &guard = *m_hosts[i].guard;
            if (guard.mayAdmit(now(i)) && guard.revision() < m_accepted)
                return nameOf(i) + " admits under " + std::to_string(guard.revision()) + " after "
                    + std::to_string(m_accepted) + " was accepted";
        }
        return {};
    }

    revision_number accepted() const { return m_accepted; }

private:
    struct host {
        std::unique_ptr<revision_guard> guard;
        double rate;
        bool frozen;
    };
    struct message {
        std::size_t from = 0;
        std::size_t to = 0; ///< hostCount stands for the key-value service.
        time_point sentAt;
        bool handled = false;
        revision_report report;
        std::shared_ptr<const config> value;
    };
    struct tracker {
        std::size_t host;
        revision_number revision;
        acceptance_tracker acceptance;
    };

    time_point now(std::size_t host) const
    {
        const double scaled = static_cast<double>(m_elapsed.count()) * m_hosts[host].rate;
        return time_point(std::chrono::hours(1) + duration(static_cast<std::int64_t>(scaled)));
    }

    void write(const config &value)
    {
        m_stored = std::make_shared<const config>(value);
        ++m_storedRevision;
    }

    void sendRequest(std::size_t from, std::size_t to)
    {
        if (m_hosts[from].frozen || from == to)
            return;
        message sent;
        sent.from = from;
        sent.to = to;
        sent.sentAt = now(from);
        m_messages.push_back(sent);
    }

    void handleRequest(std::size_t index)
    {
        if (m_messages.empty())
            return;
        message &request = m_messages[index % m_messages.size()];
        if (request.handled || (request.to < hostCount && m_hosts[request.to].frozen))
            return;
        request.handled = true;
        if (request.to == hostCount) {
            request.report.revision = m_storedRevision;
            request.value = m_stored;
        } else {
            request.report = m_hosts[request.to].guard->report(now(request.to));
            request.value = m_hosts[request.to].guard->current();
        }
    }

    void deliverReply(std::size_t index)
    {
        if (m_messages.empty())
            return;
        const std::size_t position = index % m_messages.size();
        const message reply = m_messages[position];
        if (!reply.handled || m_hosts[reply.from].frozen)
            return;
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(position));
        revision_guard &guard = *m_hosts[reply.from].guard;
        if (reply.to == hostCount) {
            guard.recordStoreRead(reply.sentAt, reply.report.revision);
        } else {
            guard.recordReport(reply.sentAt, reply.report);
            for (tracker &pending : m_trackers)
                if (pending.host == reply.from)
                    pending.acceptance.recordReport(reply.sentAt, reply.report, now(reply.from));
        }
        if (reply.value != nullptr)
            guard.install(reply.report.revision, reply.value);
    }

    void exchange(std::size_t from, std::size_t to)
    {
        if (m_hosts[from].frozen || from == to)
            return;
        sendRequest(from, to);
        handleRequest(m_messages.size() - 1);
        deliverReply(m_messages.size() - 1);
    }

    void runQuorumRound(std::size_t host)
    {
        if (m_hosts[host].frozen)
            return;
        m_hosts[host].guard->beginRound(now(host));
        for (std::size_t other = 0; other < hostCount; ++other)
            exchange(host, other);
    }

    void trackAcceptance(std::size_t host)
    {
        revision_guard &guard = *m_hosts[host].guard;
        guard.install(m_storedRevision, m_stored);
        m_trackers.push_back(
            {host, m_storedRevision,
             acceptance_tracker(m_storedRevision, *m_stored, m_limits, nameOf(host), now(host))});
    }

    void edit(std::size_t host)
    {
        if (m_hosts[host].frozen)
            return;
        config next = *m_stored;
        ++next.editCount;
        write(next);
        trackAcceptance(host);
    }

    void changeVoters(std::size_t host, std::size_t which)
    {
        if (m_hosts[host].frozen)
            return;
        if (!m_stored->previousVoters.empty()) {
            if (m_accepted < m_storedRevision)
                return;
            write(finishJoint(*m_stored));
        } else {
            const bool votes = findHost(m_stored->voters, nameOf(which)) != nullptr;
            const config next = votes ? beginJoint(*m_stored, {nameOf(which)})
                                      : beginJoint(withJoining(*m_stored, entryOf(which)), {});
            if (next == *m_stored)
                return;
            write(next);
        }
        trackAcceptance(host);
    }

    void restart(std::size_t host)
    {
        m_hosts[host].guard
            = std::make_unique<revision_guard>(nameOf(host), m_limits, now(host), ++m_incarnations);
        m_hosts[host].frozen = false;
        // Replies to the old process do not reach the new one, which has its own connections.
        const auto isOwn = [host](const message &sent) { return sent.from == host; };
        m_messages.erase(std::remove_if(m_messages.begin(), m_messages.end(), isOwn),
                         m_messages.end());
        std::vector<tracker> kept;
        for (tracker &pending : m_trackers)
            if (pending.host != host)
                kept.push_back(std::move(pending));
        m_trackers = std::move(kept);
    }

    void recordAccepted()
    {
        for (tracker &pending : m_trackers)
            if (!m_hosts[pending.host].frozen && pending.acceptance.accepted(now(pending.host)))
                m_accepted = std::max(m_accepted, pending.revision);
    }

    guard_limits m_limits;
    duration m_elapsed{};
    std::vector<host> m_hosts;
    std::vector<message> m_messages;
    std::vector<tracker> m_trackers;
    std::shared_ptr<const config> m_stored;
    revision_number m_storedRevision = 0;
    revision_number m_accepted = 0;
    std::uint64_t m_incarnations = 0;
};

rc::Gen<std::vector<step>> anySteps()
{
    const auto one = rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 14), rc::gen::inRange<std::size_t>(0, 60),
                       rc::gen::inRange<std::size_t>(0, hostCount), rc::gen::inRange(0, 900)),
        [](const std::tuple<int, std::size_t, std::size_t, int> &parts) {
            return step{std::get<0>(parts), std::get<1>(parts), std::get<2>(parts),
                        std::get<3>(parts)};
        });
    return rc::gen::resize(600, rc::gen::container<std::vector<step>>(one));
}

RC_GTEST_PROP(revision_guard_model, no_host_admits_under_a_revision_older_than_an_accepted_one, ())
{
    const std::vector<step> steps = *anySteps();
    guard_model model;
    for (const step &event : steps) {
        model.run(event);
        const std::string violation = model.violation();
        if (!violation.empty())
            RC_FAIL(violation);
    }
    RC_CLASSIFY(model.accepted() > 2, "several revisions accepted");
}

class revision_guard_fixture : public testing::Test
{
protected:
    revision_guard_fixture()
    {
        config three;
        three.voters = {entryOf(0), entryOf(1), entryOf(2)};
        value = std::make_shared<const config>(three);
        guard.install(5, value);
    }

    /// Makes the guard recover and lets its evidence expire.
    void recover()
    {
        guard.recordStoreRead(time.now(), 5);
        time.advance(std::chrono::seconds(10));
    }

    manual_clock time;
    std::shared_ptr<const config> value;
    revision_guard guard{"h0", guard_limits(), time.now(), 1};
};

TEST_F(revision_guard_fixture, host_without_evidence_does_not_admit)
{
    EXPECT_FALSE(guard.mayAdmit(time.now()));
}

TEST_F(revision_guard_fixture, host_with_a_fresh_store_read_admits_until_evidence_expires)
{
    guard.recordStoreRead(time.now(), 5);
    EXPECT_TRUE(guard.mayAdmit(time.now()));
    time.advance(milliseconds(2499));
    EXPECT_TRUE(guard.mayAdmit(time.now()));
    time.advance(milliseconds(1));
    EXPECT_FALSE(guard.mayAdmit(time.now()));
}

TEST_F(revision_guard_fixture, evidence_age_counts_from_the_request_not_the_reply)
{
    const time_point sentAt = time.now();
    time.advance(milliseconds(2000));
    guard.recordStoreRead(sentAt, 5);
    time.advance(milliseconds(600));
    EXPECT_FALSE(guard.mayAdmit(time.now()));
}

TEST_F(revision_guard_fixture, evidence_of_another_host_keeps_its_age)
{
    guard.recordReport(time.now(), {"h1", 5, milliseconds(2000), true, 1});
    EXPECT_TRUE(guard.mayAdmit(time.now()));
    time.advance(milliseconds(500));
    EXPECT_FALSE(guard.mayAdmit(time.now()));
}

TEST_F(revision_guard_fixture, evidence_of_another_host_for_another_revision_is_ignored)
{
    guard.recordReport(time.now(), {"h1", 4, milliseconds(0), true, 1});
    guard.recordReport(time.now(), {"h1", 6, milliseconds(0), true, 1});
    EXPECT_FALSE(guard.mayAdmit(time.now()));
}

TEST_F(revision_guard_fixture, store_that_holds_an_older_revision_gives_no_evidence)
{
    guard.recordStoreRead(time.now(), 4);
    EXPECT_FALSE(guard.mayAdmit(time.now()));
    EXPECT_FALSE(guard.install(4, value));
    EXPECT_EQ(guard.revision(), 5U);
}

TEST_F(revision_guard_fixture, one_of_three_voters_is_no_quorum_and_two_are)
{
    recover();
    guard.beginRound(time.now());
    EXPECT_FALSE(guard.mayAdmit(time.now()));
    guard.recordReport(time.now(), {"h1", 5, std::nullopt, true});
    EXPECT_TRUE(guard.mayAdmit(time.now()));
}

TEST_F(revision_guard_fixture, voters_that_restarted_and_did_not_recover_are_no_quorum)
{
    guard.beginRound(time.now());
    guard.recordReport(time.now(), {"h1", 5, std::nullopt, false});
    guard.recordReport(time.now(), {"h2", 5, std::nullopt, false});
    EXPECT_FALSE(guard.mayAdmit(time.now()));
    EXPECT_FALSE(guard.report(time.now()).recovered);
}

TEST_F(revision_guard_fixture, evidence_from_before_the_start_does_not_make_a_voter_recover)
{
    guard.recordReport(time.now(), {"h1", 5, milliseconds(500), true});
    EXPECT_TRUE(guard.mayAdmit(time.now()));
    EXPECT_FALSE(guard.report(time.now()).recovered);
}

TEST_F(revision_guard_fixture, quorum_that_reports_a_newer_revision_counts_once_it_is_installed)
{
    recover();
    guard.beginRound(time.now());
    guard.recordReport(time.now(), {"h1", 6, std::nullopt, true});
    EXPECT_FALSE(guard.mayAdmit(time.now()));
    guard.install(6, value);
    EXPECT_TRUE(guard.mayAdmit(time.now()));
}

TEST_F(revision_guard_fixture, half_of_an_even_set_is_no_quorum)
{
    config four;
    four.voters = {entryOf(0), entryOf(1), entryOf(2), entryOf(3)};
    recover();
    guard.install(6, std::make_shared<const config>(four));
    guard.beginRound(time.now());
    guard.recordReport(time.now(), {"h1", 6, std::nullopt, true});
    EXPECT_FALSE(guard.mayAdmit(time.now()));
    guard.recordReport(time.now(), {"h2", 6, std::nullopt, true});
    EXPECT_TRUE(guard.mayAdmit(time.now()));
}

TEST_F(revision_guard_fixture, host_that_is_no_voter_does_not_admit)
{
    config others;
    others.voters = {entryOf(1), entryOf(2)};
    guard.install(6, std::make_shared<const config>(others));
    guard.recordStoreRead(time.now(), 6);
    EXPECT_FALSE(guard.mayAdmit(time.now()));
}

TEST_F(revision_guard_fixture, host_that_is_no_voter_shares_no_evidence)
{
    guard.recordStoreRead(time.now(), 5);
    EXPECT_TRUE(guard.report(time.now()).evidenceAge.has_value());
    config others;
    others.voters = {entryOf(1), entryOf(2)};
    guard.install(6, std::make_shared<const config>(others));
    EXPECT_FALSE(guard.report(time.now()).evidenceAge.has_value());
}

class acceptance_fixture : public testing::Test
{
protected:
    acceptance_fixture() { three.voters = {entryOf(0), entryOf(1), entryOf(2)}; }

    /// Sends a request; the report of \a host arrives 1 ms later.
    void receiveReport(const std::string &host, revision_number revision, std::uint64_t incarnation)
    {
        acceptance_tracker &pending = progress();
        const time_point sentAt = time.now();
        time.advance(milliseconds(1));
        pending.recordReport(sentAt, {host, revision, std::nullopt, true, incarnation}, time.now());
    }

    acceptance_tracker &progress()
    {
        if (!m_progress)
            m_progress.emplace(5, three, guard_limits(), "h0", time.now());
        return *m_progress;
    }

    manual_clock time;
    config three;

private:
    std::optional<acceptance_tracker> m_progress;
};

TEST_F(acceptance_fixture, change_that_all_voters_report_twice_is_accepted_at_once)
{
    for (const char *host : {"h1", "h2", "h1"})
        receiveReport(host, 5, 1);
    EXPECT_FALSE(progress().accepted(time.now()));
    receiveReport("h2", 5, 1);
    EXPECT_TRUE(progress().accepted(time.now()));
}

TEST_F(acceptance_fixture, change_without_one_voter_is_accepted_when_its_evidence_has_expired)
{
    receiveReport("h1", 6, 1);
    receiveReport("h1", 6, 1);
    receiveReport("h2", 4, 1);
    EXPECT_FALSE(progress().accepted(time.now()));
    EXPECT_EQ(progress().unconfirmedVoters(), std::vector<std::string>{"h2"});
    time.advance(guard_limits().evidenceLifetime + guard_limits().clockMargin);
    EXPECT_TRUE(progress().accepted(time.now()));
}

TEST_F(acceptance_fixture, change_without_one_of_two_previous_voters_is_accepted)
{
    // The two previous voters have no quorum without h0, which holds the change.
    three.previousVoters = {entryOf(0), entryOf(2)};
    receiveReport("h1", 5, 1);
    receiveReport("h1", 5, 1);
    time.advance(std::chrono::seconds(10));
    EXPECT_TRUE(progress().accepted(time.now()));
}

TEST_F(acceptance_fixture, change_without_the_only_previous_voter_is_not_accepted)
{
    three.previousVoters = {entryOf(2)};
    receiveReport("h1", 5, 1);
    receiveReport("h1", 5, 1);
    time.advance(std::chrono::seconds(10));
    EXPECT_FALSE(progress().accepted(time.now()));
}

TEST_F(acceptance_fixture, voter_that_restarted_between_its_replies_does_not_count)
{
    receiveReport("h1", 5, 1);
    receiveReport("h1", 5, 2);
    time.advance(std::chrono::seconds(10));
    EXPECT_FALSE(progress().accepted(time.now()));
    receiveReport("h1", 5, 2);
    time.advance(std::chrono::seconds(10));
    EXPECT_TRUE(progress().accepted(time.now()));
}

} // namespace
} // namespace goldcrestdeck
