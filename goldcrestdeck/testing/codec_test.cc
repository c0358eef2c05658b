#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <fstream>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/event_stream.h"
#include "goldcrestdeck/generated/wire_generated.h"
#include "goldcrestdeck/operator_client.h"
#include "goldcrestdeck/peer_message.h"
#include "goldcrestdeck/session_token.h"
#include "goldcrestdeck/settings.h"
#include "goldcrestdeck/trace.h"
#include "goldcrestdeck/upstreams.h"

namespace goldcrestdeck {
namespace {

pong_message fullPong()
{
    pong_message pong;
    pong.report = {"h", 7, duration(5), true, 9};
    pong.heartbeats = {{1, 1, 2, true}};
    pong.marks = {{"u", std::chrono::milliseconds(3)}};
    pong.counters = {{"s", {"c", "v"}, {4, 2.5, 1, 0.9}}};
    pong.ratingsUpTo = 11;
    pong.ratingsSource = "b";
    pong.applied.floor = 3;
    pong.applied.above = {5, 7};
    pong.grants = {{"w", 1.5, 0}};
    return pong;
}

TEST(peer_message, pong_round_trips)
{
    const peer_message decoded = decodeMessage(encodeMessage(42, fullPong()));
    EXPECT_EQ(decoded.id, 42U);
    const auto &pong = std::get<pong_message>(decoded.body);
    EXPECT_EQ(pong.report.host, "h");
    EXPECT_EQ(pong.report.revision, 7U);
    EXPECT_EQ(pong.report.evidenceAge, std::optional<duration>(duration(5)));
    EXPECT_TRUE(pong.report.recovered);
    EXPECT_EQ(pong.report.incarnation, 9U);
    EXPECT_EQ(pong.heartbeats, fullPong().heartbeats);
    EXPECT_EQ(pong.counters.front().total, fullPong().counters.front().total);
    EXPECT_EQ(pong.applied, fullPong().applied);
    EXPECT_EQ(pong.grants.front().workspace, "w");
}

TEST(peer_message, message_without_a_body_is_refused)
{
    for (const auto type : {wire::Body_Ping, wire::Body_AskFeed, wire::Body_FeedNews}) {
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(wire::CreateMessage(builder, 1, type, 0));
        EXPECT_THROW(decodeMessage({reinterpret_cast<const char *>(builder.GetBufferPointer()),
                                    builder.GetSize()}),
                     peer_error);
    }
}

RC_GTEST_PROP(peer_message_fuzz, decode_of_damaged_bytes_succeeds_or_throws_peer_error,
              (std::vector<std::pair<std::uint16_t, std::uint8_t>> damage, std::uint16_t length))
{
    std::string bytes = encodeMessage(1, fullPong());
    for (const auto &[position, value] : damage)
        bytes[position % bytes.size()] = static_cast<char>(value);
    if (length % 3 == 0)
        bytes.resize(length % (bytes.size() + 1));
    try {
        decodeMessage(bytes);
    } catch (const peer_error &) {
        RC_TAG("refused");
    }
}

RC_GTEST_PROP(event_splitter_model, feed_in_any_chunks_passes_same_events,
              (std::vector<std::string> contents, std::vector<std::uint8_t> chunkSizes,
               bool useCrLf))
{
    const std::string separator = useCrLf ? "\r\n\r\n" : "\n\n";
    std::string events;
    for (const std::string &content : contents)
        events += "data: {" + base64Encode(content) + "}" + separator;
    const std::string closing = "data: [DONE]" + separator;
    const std::string stream = events + closing;
    event_splitter splitter;
    std::string passed;
    std::size_t at = 0;
    for (std::size_t i = 0; at < stream.size(); ++i) {
        const std::size_t size = i < chunkSizes.size() ? chunkSizes[i] : stream.size();
        RC_ASSERT(!splitter.hasFinalEvent() || passed == events);
        RC_ASSERT(splitter.feed(stream.substr(at, size), passed));
        at += std::min(size, stream.size() - at);
    }
    RC_ASSERT(splitter.hasFinalEvent());
    RC_ASSERT(passed == events);
    RC_ASSERT(splitter.unforwarded() == closing);
}

TEST(event_splitter, stream_without_closing_event_is_incomplete)
{
    event_splitter splitter;
    std::string passed;
    splitter.feed("data: x\n\ndata: [DON", passed);
    EXPECT_FALSE(splitter.hasFinalEvent());
    EXPECT_EQ(passed, "data: x\n\n");
}

TEST(event_splitter, event_without_end_is_rejected_above_size_limit)
{
    event_splitter splitter;
    std::string passed;
    EXPECT_FALSE(splitter.feed(std::string(2'000'000, 'x'), passed));
}

const std::vector<std::string> oldKeys = {std::string(32, 'o')};
const std::vector<std::string> newKeys = {std::string(32, 'n'), std::string(32, 'o')};

TEST(session_token, token_verifies_with_its_key_and_after_key_rotation)
{
    const session_token token{"w", "v@1", "00ff"};
    EXPECT_EQ(verifyToken(signToken(token, oldKeys), oldKeys), token);
    EXPECT_EQ(verifyToken(signToken(token, oldKeys), newKeys), token);
    EXPECT_FALSE(verifyToken(signToken(token, newKeys), oldKeys).has_value());
}

RC_GTEST_PROP(session_token_model, altered_token_is_rejected,
              (std::uint16_t position, std::uint8_t value))
{
    const std::string original = signToken({"w", "v@1", "00ff"}, oldKeys);
    std::string altered = original;
    altered[position % altered.size()] = static_cast<char>(value);
    RC_ASSERT(altered == original || !verifyToken(altered, oldKeys).has_value());
}

TEST(session_token, malformed_token_is_rejected)
{
    for (const char *text : {"", ":", "a:b:c", "a:b:c:d", ":::"})
        EXPECT_FALSE(verifyToken(text, oldKeys).has_value()) << text;
    EXPECT_FALSE(verifyToken(std::string(100'000, ':'), oldKeys).has_value());
}

TEST(traceparent, malformed_header_is_ignored)
{
    EXPECT_TRUE(parseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"));
    for (const char *bad : {"", "00", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
                            "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                            "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
                            "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"})
        EXPECT_FALSE(parseTraceparent(bad)) << bad;
}

struct bad_setting {
    const char *key;      ///< Key of the line to replace.
    const char *line;     ///< The replacement.
    const char *expected; ///< Part of the error message.
};

class settings_file : public testing::TestWithParam<bad_setting>
{
protected:
    static std::string write(const std::string &replaced, const std::string &line)
    {
        const std::vector<std::pair<std::string, std::string>> lines
            = {{"", "[host]"},
               {"name", "name = entry-1"},
               {"failure_domain", "failure_domain = north-a"},
               {"http_address", "http_address = 127.0.0.1:8080"},
               {"peer_address", "peer_address = 127.0.0.1:8081"},
               {"", "[platform]"},
               {"key_value_url", "key_value_url = http://127.0.0.1:1"},
               {"host_list_url", "host_list_url = http://127.0.0.1:2"},
               {"rating_url", "rating_url = http://127.0.0.1:3"},
               {"", "[sessions]"},
               {"keys", "keys = 0123456789abcdef0123456789abcdef"},
               {"", "[operators]"},
               {"token_sha256", "token_sha256 = " + std::string(64, 'a')},
               {"", "[policy]"},
               {"rating_share", "rating_share = 0.2"}};
        const std::string path = testing::TempDir() + "/settings.ini";
        std::ofstream file(path);
        for (const auto &[key, text] : lines)
            file << (!key.empty() && key == replaced ? line : text) << '\n';
        return path;
    }
};

TEST_P(settings_file, invalid_key_throws_error_with_file_and_expected_value)
{
    const std::string path = write(GetParam().key, GetParam().line);
    try {
        loadSettings(path);
        FAIL() << "accepted: " << GetParam().line;
    } catch (const settings_error &error) {
        const std::string message = error.what();
        EXPECT_NE(message.find(path), std::string::npos) << message;
        EXPECT_NE(message.find(GetParam().expected), std::string::npos) << message;
    }
}

INSTANTIATE_TEST_SUITE_P(
    cases, settings_file,
    testing::Values(bad_setting{"name", "", "host.name is missing"},
                    bad_setting{"name", "name = Entry 1", "host.name is 'Entry 1'"},
                    bad_setting{"name", "nmae = entry-1", "host.nmae"},
                    bad_setting{"http_address", "http_address = here", "host.http_address"},
                    bad_setting{"http_address", "http_address = 127.0.0.1:0", "IPv4 address"},
                    bad_setting{"key_value_url", "key_value_url = 127.0.0.1", "http://"},
                    bad_setting{"keys", "keys = short", "32 characters"},
                    bad_setting{"token_sha256", "token_sha256 = x", "SHA-256"},
                    bad_setting{"rating_share", "rating_share = 2", "from 0 to 1"},
                    bad_setting{"rating_share", "rating_share = x", "policy.rating_share is 'x'"}));

TEST(settings_load, missing_file_throws_settings_error)
{
    EXPECT_THROW(loadSettings("/nonexistent.ini"), settings_error);
}

TEST(host_list, malformed_list_throws_platform_error)
{
    for (const char *text : {"", "{}", "{\"hosts\":[{}]}", "[", "{\"hosts\":[{\"address\":1}]}"})
        EXPECT_THROW(decodeHostList(text), platform_error) << text;
}

TEST(render_rows, same_rows_in_each_format)
{
    const row_set rows{{"a", "b"}, {{"1", "x,y"}}};
    EXPECT_EQ(renderRows(rows, output_format::aligned), "a  b\n1  x,y\n");
    EXPECT_EQ(renderRows(rows, output_format::csv), "a,b\n1,\"x,y\"\n");
    EXPECT_EQ(renderRows(rows, output_format::json), "[{\"a\":\"1\",\"b\":\"x,y\"}]\n");
}

TEST(rendezvous, removed_candidate_reassigns_only_its_own_subjects)
{
    const std::vector<std::string> all = {"a", "b", "c", "d"};
    const std::vector<std::string> fewer = {"a", "b", "c"};
    for (int i = 0; i < 200; ++i) {
        const std::string subject = std::to_string(i);
        const std::string before = rendezvousTop(subject, all, 1).front();
        EXPECT_TRUE(before == "d" || rendezvousTop(subject, fewer, 1).front() == before);
    }
}

} // namespace
} // namespace goldcrestdeck
