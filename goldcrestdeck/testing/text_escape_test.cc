#include "goldcrestdeck/text_escape.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "goldcrestdeck/crash_report.h"
#include "goldcrestdeck/json.h"

namespace goldcrestdeck {
namespace {

/// Bytes of all kinds, with many that are close to UTF-8 or to an escape.
rc::Gen<std::string> genBytes()
{
    const auto piece = rc::gen::oneOf(
        rc::gen::container<std::string>(rc::gen::arbitrary<char>()),
        rc::gen::elementOf(std::vector<std::string>{
            "M\xfcller", "\\x", "\\x4", "\\xfc", "\\", "\"", "\xc3\xa4", "\xc3", "\xed\xa0\x80",
            "\xc0\xaf", "\xf0\x9f\x98\x80", "\xf4\x90\x80\x80", "x", "{}", std::string(1, '\0')}));
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece),
                        [](const std::vector<std::string> &pieces) {
                            std::string text;
                            for (const std::string &entry : pieces)
                                text += entry;
                            return text;
                        });
}

TEST(text_escape, latin_1_text_is_escaped_where_it_is_no_utf_8)
{
    EXPECT_EQ("M\\xfcller", escapeText("M\xfcller"));
    EXPECT_EQ("M\xc3\xbcller", escapeText("M\xc3\xbcller"));
    EXPECT_EQ("a\\b", escapeText("a\\b"));
    EXPECT_EQ("a\\x5cxb", escapeText("a\\xb"));
}

RC_GTEST_PROP(text_escape, any_bytes_become_json_and_come_back, ())
{
    const std::string text = *genBytes();
    const std::string escaped = escapeText(text);
    json_value row = json_value::object();
    row.set("text", escaped);
    RC_ASSERT(json_value::parse(row.dump()).string("text") == escaped);
    RC_ASSERT(unescapeText(escaped) == text);
}

// Guards against a request id or segment that isn't UTF-8 and ends the process once its instance
// crashes.
RC_GTEST_PROP(crash_report_model, report_with_any_bytes_is_read_as_it_was_written, ())
{
    crash_report report;
    report.suspects.push_back({"i1@1", *genBytes(), {*genBytes(), *genBytes()}, {}, *genBytes()});
    report.answered.push_back({*genBytes(), std::chrono::milliseconds(3)});
    RC_ASSERT(decodeCrashReport(encodeCrashReport(report)) == report);
}

} // namespace
} // namespace goldcrestdeck
