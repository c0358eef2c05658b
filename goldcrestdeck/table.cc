// Rows are kept sorted, so that each table has exactly one rendering and a lookup is a binary
// search. Boost.Tokenizer splits the CSV lines into fields; this file interprets the fields.

#include "goldcrestdeck/table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <sstream>
#include <tuple>

#include <boost/tokenizer.hpp>

namespace goldcrestdeck {

namespace {

constexpr std::array<const char *, 11> columnNames
    = {"workspace",      "version",  "state", "weight",     "requests_per_second", "cost_micros",
       "quality_target", "priority", "calls", "key_sha256", "row_version"};
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t sha256HexLength = 64;
constexpr std::uint32_t maxWeightPercent = 100;
constexpr std::uint32_t maxRequestsPerSecond = 1'000'000;
constexpr std::uint64_t maxCostMicros = 1'000'000'000;

auto keyOf(const table_row &row)
{
    return std::tie(row.workspace, row.version);
}

bool rowBefore(const table_row &a, const table_row &b)
{
    return keyOf(a) < keyOf(b);
}

auto fieldsOf(const table_row &row)
{
    return std::tie(row.workspace, row.version, row.state, row.weight, row.requestsPerSecond,
                    row.costMicros, row.qualityTarget, row.priority, row.calls, row.keySha256,
                    row.rowVersion);
}

bool equalExceptRowVersion(const table_row &a, table_row b)
{
    b.rowVersion = a.rowVersion;
    return a == b;
}

/// Reads the fields of one line in order. Error messages name the line and the column.
class row_reader
{
public:
    row_reader(std::size_t line, std::vector<std::string> fields)
        : m_line(line)
        , m_fields(std::move(fields))
    {
        if (m_fields.size() != columnNames.size())
            throw table_error("line " + std::to_string(m_line) + ": "
                              + std::to_string(m_fields.size()) + " columns, expected "
                              + std::to_string(columnNames.size()));
    }

    const std::string &next() { return m_fields[m_next++]; }

    std::string nextName()
    {
        const std::string &text = next();
        const bool hasValidCharacters = std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '@';
        });
        if (text.empty() || text.size() > maxNameLength || !hasValidCharacters)
            fail("1 to 64 letters, digits or -_.@");
        return text;
    }

    template<typename Number>
    Number nextNumber(Number highest)
    {
        const std::string &text = next();
        Number value{};
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isComplete = error == std::errc() && end == text.data() + text.size();
        if (!isComplete || !(value >= Number{}) || value > highest)
            fail("a number from 0 to " + std::to_string(highest));
        return value;
    }

    template<typename Value>
    Value nextChoice(std::initializer_list<Value> choices)
    {
        const std::string &text = next();
        std::string expected;
        for (Value choice : choices) {
            if (text == toString(choice))
                return choice;
            expected += std::string(expected.empty() ? "" : ", ") + toString(choice);
        }
        fail("one of " + expected);
    }

    [[noreturn]] void fail(const std::string &expected) const
    {
        const std::size_t column = m_next - 1;
        throw table_error("line " + std::to_string(m_line) + ", column "
                          + std::to_string(column + 1) + " (" + columnNames[column] + "): '"
                          + m_fields[column] + "', expected " + expected);
    }

private:
    std::size_t m_line;
    std::vector<std::string> m_fields;
    std::size_t m_next = 0;
};

bool isVersionName(const std::string &name)
{
    const std::size_t at = name.find('@');
    return at != std::string::npos && at > 0 && at + 1 < name.size()
        && name.find('@', at + 1) == std::string::npos;
}

table_row parseRow(std::size_t line, std::vector<std::string> fields)
{
    row_reader reader(line, std::move(fields));
    table_row row;
    row.workspace = reader.nextName();
    row.version = reader.nextName();
    if (!isVersionName(row.version))
        reader.fail("name@version");
    row.state = reader.nextChoice({row_state::active, row_state::withdrawn, row_state::barred});
    row.weight = reader.nextNumber(maxWeightPercent);
    row.requestsPerSecond = reader.nextNumber(maxRequestsPerSecond);
    row.costMicros = reader.nextNumber(maxCostMicros);
    row.qualityTarget = reader.nextNumber(1.0);
    row.priority = reader.nextNumber(lowestPriority);
    row.calls = reader.nextChoice(
        {call_kind::completion, call_kind::idempotent, call_kind::at_most_once});
    row.keySha256 = reader.next();
    const bool isHexadecimal
        = row.keySha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (row.keySha256.size() != sha256HexLength || !isHexadecimal)
        reader.fail("a SHA-256 as 64 lower-case hexadecimal digits");
    row.rowVersion = reader.nextNumber(std::uint64_t(UINT64_MAX));
    return row;
}

std::vector<std::string> splitLine(std::size_t number, const std::string &line)
{
    using separator = boost::escaped_list_separator<char>;
    try {
        const boost::tokenizer<separator> fields(line);
        return {fields.begin(), fields.end()};
    } catch (const std::exception &error) {
        throw table_error("line " + std::to_string(number) + ": " + error.what());
    }
}

std::string describe(const table_row &row)
{
    return row.workspace + "/" + row.version;
}

void checkWorkspaceValues(const table_row &a, const table_row &b)
{
    const auto reject = [&](const char *column) {
        throw table_error("rows " + describe(a) + " and " + describe(b) + " differ in " + column
                          + ", which belongs to the workspace");
    };
    if (a.requestsPerSecond != b.requestsPerSecond)
        reject("requests_per_second");
    if (a.qualityTarget != b.qualityTarget)
        reject("quality_target");
    if (a.keySha256 != b.keySha256)
        reject("key_sha256");
}

std::string formatDouble(double value)
{
    char text[32];
    const auto [end, error] = std::to_chars(text, text + sizeof text, value);
    return error == std::errc() ? std::string(text, end) : std::string("0");
}

} // namespace

bool operator==(const table_row &a, const table_row &b)
{
    return fieldsOf(a) == fieldsOf(b);
}

bool operator!=(const table_row &a, const table_row &b)
{
    return !(a == b);
}

std::string modelOf(const std::string &version)
{
    return version.substr(0, version.find('@'));
}

const char *toString(row_state state)
{
    switch (state) {
    case row_state::active:
        return "active";
    case row_state::withdrawn:
        return "withdrawn";
    case row_state::barred:
        break;
    }
    return "barred";
}

const char *toString(call_kind calls)
{
    switch (calls) {
    case call_kind::completion:
        return "completion";
    case call_kind::idempotent:
        return "idempotent";
    case call_kind::at_most_once:
        break;
    }
    return "at_most_once";
}

const table_row *findRow(const table &rows, std::string_view workspace, std::string_view version)
{
    const auto before = [&](const table_row &row, int) {
        return std::tuple<std::string_view, std::string_view>(row.workspace, row.version)
            < std::tie(workspace, version);
    };
    const auto found = std::lower_bound(rows.begin(), rows.end(), 0, before);
    const bool matches
        = found != rows.end() && found->workspace == workspace && found->version == version;
    return matches ? &*found : nullptr;
}

table parseTable(const std::string &csv)
{
    std::istringstream stream(csv);
    std::string line;
    std::size_t number = 0;
    bool hasHeader = false;
    table rows;
    while (std::getline(stream, line)) {
        ++number;
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (line.empty() || line[0] == '#')
            continue;
        std::vector<std::string> fields = splitLine(number, line);
        if (!hasHeader) {
            hasHeader = true;
            if (!std::equal(fields.begin(), fields.end(), columnNames.begin(), columnNames.end()))
                throw table_error("line " + std::to_string(number)
                                  + ": the header must name the columns workspace to row_version");
            continue;
        }
        rows.push_back(parseRow(number, std::move(fields)));
        for (std::size_t i = 0; i + 1 < rows.size(); ++i)
            if (keyOf(rows[i]) == keyOf(rows.back()))
                throw table_error("line " + std::to_string(number) + ", column 2 (version): "
                                  + describe(rows.back()) + " is listed twice");
    }
    if (!hasHeader)
        throw table_error("line 1: no header");
    std::sort(rows.begin(), rows.end(), rowBefore);
    validateTable(rows);
    return rows;
}

std::string renderTable(const table &rows)
{
    std::string csv;
    const auto addLine = [&csv](const std::vector<std::string> &cells) {
        for (std::size_t i = 0; i < cells.size(); ++i)
            csv += (i == 0 ? "" : ",") + cells[i];
        csv += '\n';
    };
    addLine(tableColumns());
    for (const table_row &row : rows)
        addLine(cellsOf(row));
    return csv;
}

std::vector<std::string> tableColumns()
{
    return {columnNames.begin(), columnNames.end()};
}

std::vector<std::string> cellsOf(const table_row &row)
{
    return {row.workspace,
            row.version,
            toString(row.state),
            std::to_string(row.weight),
            std::to_string(row.requestsPerSecond),
            std::to_string(row.costMicros),
            formatDouble(row.qualityTarget),
            std::to_string(row.priority),
            toString(row.calls),
            row.keySha256,
            std::to_string(row.rowVersion)};
}

table_row rowFromCells(const std::vector<std::string> &cells)
{
    return parseRow(1, cells);
}

void validateTable(const table &rows)
{
    if (rows.size() > maxTableRows)
        throw table_error("more than " + std::to_string(maxTableRows) + " rows");
    for (std::size_t i = 1; i < rows.size(); ++i)
        if (rows[i].workspace == rows[i - 1].workspace)
            checkWorkspaceValues(rows[i - 1], rows[i]);
    // A key belongs to one workspace only; otherwise a client could be billed to the wrong one.
    std::vector<std::pair<std::string, std::string>> keys;
    for (const table_row &row : rows)
        keys.emplace_back(row.keySha256, row.workspace);
    std::sort(keys.begin(), keys.end());
    for (std::size_t i = 1; i < keys.size(); ++i)
        if (keys[i].first == keys[i - 1].first && keys[i].second != keys[i - 1].second)
            throw table_error("workspaces " + keys[i - 1].second + " and " + keys[i].second
                              + " have the same key_sha256");
}

std::vector<table_edit> diffTables(const table &current, const table &wanted)
{
    std::vector<table_edit> edits;
    for (const table_row &row : wanted) {
        const table_row *existing = findRow(current, row.workspace, row.version);
        if (existing != nullptr && equalExceptRowVersion(*existing, row))
            continue;
        const std::uint64_t currentVersion = existing == nullptr ? 0 : existing->rowVersion;
        if (row.rowVersion != 0 && row.rowVersion != currentVersion)
            throw table_error("conflict: " + describe(row) + " is at row version "
                              + std::to_string(currentVersion) + ", the file has "
                              + std::to_string(row.rowVersion));
        edits.push_back({currentVersion, false, row});
    }
    for (const table_row &row : current)
        if (findRow(wanted, row.workspace, row.version) == nullptr)
            edits.push_back({row.rowVersion, true, row});
    return edits;
}

table applyEdits(const table &current, const std::vector<table_edit> &edits,
                 std::uint64_t rowVersion)
{
    table next = current;
    for (const table_edit &edit : edits) {
        const auto position = std::lower_bound(next.begin(), next.end(), edit.row, rowBefore);
        const bool exists = position != next.end() && keyOf(*position) == keyOf(edit.row);
        const std::uint64_t version = exists ? position->rowVersion : 0;
        if (version != edit.expectedRowVersion || (edit.remove && !exists))
            throw table_error("conflict: " + describe(edit.row) + " is at row version "
                              + std::to_string(version) + ", the edit is based on "
                              + std::to_string(edit.expectedRowVersion));
        if (edit.remove) {
            next.erase(position);
            continue;
        }
        table_row row = edit.row;
        row.rowVersion = rowVersion;
        if (exists)
            *position = row;
        else
            next.insert(position, row);
    }
    validateTable(next);
    return next;
}

} // namespace goldcrestdeck
