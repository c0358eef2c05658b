#include "goldcrestdeck/table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "goldcrestdeck/config.h"
#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/operator_client.h"

namespace goldcrestdeck {
namespace {

const std::string header = "workspace,version,state,weight,requests_per_second,cost_micros,"
                           "quality_target,priority,calls,key_sha256,row_version\n";
const std::string keyHash(64, 'a');

table_row rowOf(const std::string &workspace, int version, std::uint32_t weight)
{
    table_row row;
    row.workspace = workspace;
    row.version = "husk@" + std::to_string(version);
    row.weight = weight;
    row.requestsPerSecond = 10;
    row.qualityTarget = 0.8;
    row.keySha256 = sha256Hex(workspace);
    return row;
}

struct invalid_row {
    const char *line;
    const char *expected; ///< Part of the message.
};

class table_parse : public testing::TestWithParam<invalid_row>
{ };

TEST_P(table_parse, invalid_row_is_rejected_with_line_and_column)
{
    const std::string line = GetParam().line;
    try {
        parseTable(header + line + "\n");
        FAIL() << "accepted: " << line;
    } catch (const table_error &error) {
        EXPECT_NE(std::string(error.what()).find(GetParam().expected), std::string::npos)
            << error.what() << "\nfor " << line;
    }
}

const std::string validTail = ",10,5,0.8,1,completion," + keyHash + ",0";

INSTANTIATE_TEST_SUITE_P(
    cases, table_parse,
    testing::Values(invalid_row{"a,b", "line 2: 2 columns"},
                    invalid_row{",husk@1,active,1,1,1,0.5,1,completion,x,0", "line 2, column 1"},
                    invalid_row{"w,husk,active,1,1,1,0.5,1,completion,x,0", "column 2 (version)"},
                    invalid_row{"w,husk@1@2,active,1,1,1,0.5,1,completion,x,0", "column 2"},
                    invalid_row{"w,husk@1,on,1,1,1,0.5,1,completion,x,0", "column 3 (state): 'on'"},
                    invalid_row{"w,husk@1,active,101,1,1,0.5,1,completion,x,0",
                                "column 4 (weight)"},
                    invalid_row{"w,husk@1,active,-1,1,1,0.5,1,completion,x,0", "column 4"},
                    invalid_row{"w,husk@1,active,1,9999999,1,0.5,1,completion,x,0", "column 5"},
                    invalid_row{"w,husk@1,active,1,1,1x,0.5,1,completion,x,0", "column 6"},
                    invalid_row{"w,husk@1,active,1,1,1,1.5,1,completion,x,0", "column 7"},
                    invalid_row{"w,husk@1,active,1,1,1,nan,1,completion,x,0", "column 7"},
                    invalid_row{"w,husk@1,active,1,1,1,0.5,9,completion,x,0", "column 8"},
                    invalid_row{"w,husk@1,active,1,1,1,0.5,1,perhaps,x,0", "column 9 (calls)"},
                    invalid_row{"w,husk@1,active,1,1,1,0.5,1,completion,x,0", "column 10"},
                    invalid_row{"w\",husk@1", "line 2"}));

TEST(table_parse, duplicate_row_is_rejected)
{
    const std::string line = "w,husk@1,active,1,1,1,0.5,1,completion," + keyHash + ",0\n";
    EXPECT_THROW(parseTable(header + line + line), table_error);
}

TEST(table_parse, rows_with_different_workspace_values_are_rejected)
{
    const std::string one = "w,husk@1,active,1,1,1,0.5,1,completion," + keyHash + ",0\n";
    const std::string two = "w,husk@2,active,1,2,1,0.5,1,completion," + keyHash + ",0\n";
    EXPECT_THROW(parseTable(header + one + two), table_error);
}

TEST(table_parse, key_of_two_workspaces_is_rejected)
{
    const std::string one = "v,husk@1,active,1,1,1,0.5,1,completion," + keyHash + ",0\n";
    const std::string two = "w,husk@1,active,1,1,1,0.5,1,completion," + keyHash + ",0\n";
    EXPECT_THROW(parseTable(header + one + two), table_error);
}

TEST(table_parse, missing_header_is_rejected)
{
    EXPECT_THROW(parseTable(""), table_error);
    EXPECT_THROW(parseTable("w,husk@1,active\n"), table_error);
}

rc::Gen<table_row> anyRow()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4), rc::gen::inRange(0, 101)),
        [](const std::tuple<int, int, int> &parts) {
            return rowOf("w" + std::to_string(std::get<0>(parts)), std::get<1>(parts),
                         static_cast<std::uint32_t>(std::get<2>(parts)));
        });
}

table tableOf(const std::vector<table_row> &rows)
{
    std::map<std::pair<std::string, std::string>, table_row> unique;
    for (const table_row &row : rows)
        unique[{row.workspace, row.version}] = row;
    table result;
    for (const auto &[key, row] : unique)
        result.push_back(row);
    return result;
}

RC_GTEST_PROP(table_render, any_table_parses_back_to_itself, ())
{
    const table rows = tableOf(*rc::gen::container<std::vector<table_row>>(anyRow()));
    RC_ASSERT(parseTable(renderTable(rows)) == rows);
}

RC_GTEST_PROP(table_diff, edits_between_any_two_tables_turn_one_into_the_other, ())
{
    table current = tableOf(*rc::gen::container<std::vector<table_row>>(anyRow()));
    for (table_row &row : current)
        row.rowVersion = 1;
    const table wanted = tableOf(*rc::gen::container<std::vector<table_row>>(anyRow()));
    table result = applyEdits(current, diffTables(current, wanted), 7);
    for (table_row &row : result)
        row.rowVersion = 0;
    RC_ASSERT(result == wanted);
}

TEST(table_edit_conflict, second_edit_of_the_same_row_is_rejected)
{
    const table start = applyEdits({}, {{0, false, rowOf("w", 1, 10)}}, 1);
    const table_edit first{1, false, rowOf("w", 1, 20)};
    const table_edit second{1, false, rowOf("w", 1, 30)};
    const table next = applyEdits(start, {first}, 2);
    EXPECT_THROW(applyEdits(next, {second}, 3), table_error);
}

TEST(table_edit_conflict, edits_of_different_rows_merge)
{
    const table start
        = applyEdits({}, {{0, false, rowOf("w", 1, 10)}, {0, false, rowOf("w", 2, 10)}}, 1);
    const table next = applyEdits(start, {{1, false, rowOf("w", 1, 20)}}, 2);
    const table last = applyEdits(next, {{1, false, rowOf("w", 2, 30)}}, 3);
    EXPECT_EQ(findRow(last, "w", "husk@1")->weight, 20U);
    EXPECT_EQ(findRow(last, "w", "husk@2")->weight, 30U);
}

TEST(table_edit_conflict, edit_of_a_deleted_and_recreated_row_is_rejected)
{
    const table start = applyEdits({}, {{0, false, rowOf("w", 1, 10)}}, 1);
    const table deleted = applyEdits(start, {{1, true, rowOf("w", 1, 10)}}, 2);
    const table recreated = applyEdits(deleted, {{0, false, rowOf("w", 1, 50)}}, 3);
    EXPECT_THROW(applyEdits(recreated, {{1, false, rowOf("w", 1, 99)}}, 4), table_error);
}

TEST(with_column, value_of_one_column_is_replaced_and_validated)
{
    const table_row row = rowOf("w", 1, 10);
    EXPECT_EQ(withColumn(row, "weight", "60").weight, 60U);
    EXPECT_EQ(withColumn(row, "state", "barred").state, row_state::barred);
    for (const auto &[column, value] : std::map<std::string, std::string>{
             {"weight", "101"}, {"state", "on"}, {"colour", "red"}, {"version", "husk@9"}})
        EXPECT_THROW(withColumn(row, column, value), table_error) << column;
}

TEST(describe_edits, each_kind_of_edit_is_named)
{
    const table current = {rowOf("w", 1, 10), rowOf("w", 2, 10)};
    const table wanted = {rowOf("w", 1, 20), rowOf("w", 3, 10)};
    EXPECT_EQ(describeEdits(current, diffTables(current, wanted)),
              "~ w/husk@1 weight: 10 -> 20\n+ w/husk@3\n- w/husk@2\n");
}

TEST(config_codec, configuration_with_all_fields_round_trips)
{
    config value;
    value.rows = {rowOf("w", 1, 5)};
    value.voters = {{"a", "127.0.0.1:1", "north"}};
    value.previousVoters = {{"b", "127.0.0.1:2", "south"}};
    value.joining = {{"c", "127.0.0.1:3", "west"}};
    value.editCount = 3;
    value.recentEdits = {"x", "y"};
    EXPECT_TRUE(decodeConfig(encodeConfig(value)) == value);
    EXPECT_THROW(decodeConfig("{}"), table_error);
    EXPECT_THROW(decodeConfig("["), table_error);
}

TEST(config_edits, identifier_of_an_applied_edit_is_found)
{
    const edit_request request{"edit-1", {{0, false, rowOf("w", 1, 10)}}};
    const config next = applyEditRequest({}, decodeEditRequest(encodeEditRequest(request)));
    EXPECT_TRUE(containsEdit(next, "edit-1"));
    EXPECT_FALSE(containsEdit(next, "edit-2"));
    EXPECT_EQ(next.rows.front().rowVersion, 1U);
}

} // namespace
} // namespace goldcrestdeck
