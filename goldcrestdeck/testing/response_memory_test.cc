#include "goldcrestdeck/response_memory.h"

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace goldcrestdeck {
namespace {

class response_memory_fixture : public ::testing::Test
{
protected:
    held_bytes hold(const std::string &sender) const { return {m_memory, sender}; }

    response_memory_limits m_limits{100, 200, 400};
    std::shared_ptr<response_memory> m_memory = std::make_shared<response_memory>(m_limits);
};

TEST_F(response_memory_fixture, sender_beyond_its_share_is_refused_and_others_are_not)
{
    held_bytes first = hold("a");
    held_bytes second = hold("a");
    held_bytes other = hold("b");
    EXPECT_TRUE(first.set(60));
    EXPECT_FALSE(second.set(50));
    EXPECT_TRUE(other.set(90));
    EXPECT_TRUE(second.set(40));
    EXPECT_EQ(100U, m_memory->heldBy("a"));
    EXPECT_EQ(190U, m_memory->total());
}

TEST_F(response_memory_fixture, sender_within_its_equal_part_is_served_beyond_the_total)
{
    held_bytes first = hold("a");
    held_bytes second = hold("b");
    held_bytes third = hold("c");
    EXPECT_TRUE(first.set(100));
    EXPECT_TRUE(second.set(100));
    EXPECT_TRUE(third.set(66));
    EXPECT_FALSE(third.set(67));
    EXPECT_TRUE(first.set(50));
    EXPECT_FALSE(second.set(101));
}

TEST_F(response_memory_fixture, bytes_are_released_with_their_response)
{
    {
        held_bytes first = hold("a");
        first.set(30);
        held_bytes second = std::move(first);
        EXPECT_EQ(30U, m_memory->total());
        second = hold("b");
        EXPECT_EQ(0U, m_memory->total());
        second.set(20);
    }
    EXPECT_EQ(0U, m_memory->total());
    EXPECT_EQ(0U, m_memory->heldBy("b"));
}

// Responses that stop growing when they are refused keep all bounds, in whatever order they grow.
RC_GTEST_FIXTURE_PROP(response_memory_fixture, bounds_hold_and_equal_parts_are_not_refused, ())
{
    const std::vector<std::string> senders = {"a", "b", "c", "d", "e", "f", "g", "h"};
    std::vector<held_bytes> responses;
    std::map<std::size_t, std::string> senderOf;
    for (std::size_t i = 0; i < 16; ++i) {
        senderOf[i] = senders[i % senders.size()];
        responses.push_back(hold(senderOf[i]));
    }
    const auto sum = [&](const std::string &sender) {
        std::size_t bytes = 0;
        for (std::size_t i = 0; i < responses.size(); ++i)
            bytes += sender.empty() || senderOf[i] == sender ? responses[i].bytes() : 0;
        return bytes;
    };
    for (int step = 0; step < 200; ++step) {
        const std::size_t i = *rc::gen::inRange<std::size_t>(0, responses.size());
        const std::size_t before = responses[i].bytes();
        const bool releases = *rc::gen::inRange(0, 5) == 0;
        const std::size_t after = releases ? 0 : before + *rc::gen::inRange<std::size_t>(1, 40);
        const bool isWithin = responses[i].set(after);
        std::size_t active = 0;
        for (const std::string &sender : senders)
            active += sum(sender) > 0 ? 1 : 0;
        const std::size_t held = sum(senderOf[i]);
        const bool isEqualPart = active > 0 && held <= m_limits.totalBytes / active;
        if (isEqualPart && held <= m_limits.senderBytes && sum("") <= m_limits.hardTotalBytes)
            RC_ASSERT(isWithin);
        if (!isWithin)
            responses[i].set(before);
        RC_ASSERT(sum("") == m_memory->total());
        RC_ASSERT(sum("") <= m_limits.hardTotalBytes);
        RC_ASSERT(sum(senderOf[i]) == m_memory->heldBy(senderOf[i]));
        RC_ASSERT(sum(senderOf[i]) <= m_limits.senderBytes);
    }
}

} // namespace
} // namespace goldcrestdeck
