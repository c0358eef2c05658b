#include "goldcrestdeck/operator_client.h"

#include <algorithm>

#include "goldcrestdeck/digest.h"

namespace goldcrestdeck {

namespace {

constexpr std::chrono::milliseconds callTimeout{15'000};
constexpr std::size_t editIdBytes = 12;
constexpr int maxSendAttempts = 3;
constexpr int httpOk = 200;
constexpr const char *rowVersionColumn = "row_version";

std::string quoteCsv(const std::string &text)
{
    if (text.find_first_of(",\"\n") == std::string::npos)
        return text;
    std::string quoted = "\"";
    for (char c : text)
        quoted += c == '"' ? std::string("\"\"") : std::string(1, c);
    return quoted + '"';
}

std::string renderCsv(const row_set &rows)
{
    std::string text;
    const auto addLine = [&](const std::vector<std::string> &cells) {
        for (std::size_t i = 0; i < cells.size(); ++i)
            text += (i == 0 ? "" : ",") + quoteCsv(cells[i]);
        text += '\n';
    };
    addLine(rows.columns);
    for (const auto &row : rows.rows)
        addLine(row);
    return text;
}

std::string renderJson(const row_set &rows)
{
    json_value list = json_value::array();
    for (const auto &row : rows.rows) {
        json_value item = json_value::object();
        for (std::size_t i = 0; i < row.size(); ++i)
            item.set(rows.columns[i].c_str(), row[i]);
        list.append(item);
    }
    return list.dump() + '\n';
}

std::string renderAligned(const row_set &rows)
{
    std::vector<std::size_t> widths;
    for (const std::string &column : rows.columns)
        widths.push_back(column.size());
    for (const auto &row : rows.rows)
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    std::string text;
    const auto addLine = [&](const std::vector<std::string> &cells) {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i)
            line += cells[i] + std::string(widths[i] - cells[i].size() + 2, ' ');
        text += line.substr(0, line.find_last_not_of(' ') + 1) + '\n';
    };
    addLine(rows.columns);
    for (const auto &row : rows.rows)
        addLine(row);
    return text;
}

} // namespace

std::string renderRows(const row_set &rows, output_format format)
{
    switch (format) {
    case output_format::csv:
        return renderCsv(rows);
    case output_format::json:
        return renderJson(rows);
    case output_format::aligned:
        break;
    }
    return renderAligned(rows);
}

operator_client::operator_client(std::string host, std::string token)
    : m_host(std::move(host))
    , m_token(std::move(token))
{ }

json_value operator_client::call(const std::string &method, const std::string &path,
                                 const std::string &body)
{
    http_request request;
    request.method = method;
    request.url = m_host + path;
    request.headers = {{"Authorization", "Bearer " + m_token}};
    request.body = body;
    request.timeout = callTimeout;
    try {
        const http_response response = m_client.send(request);
        const json_value document = json_value::parse(response.body);
        if (response.status != httpOk && !document.has("status"))
            throw operator_error(response.status,
                                 document.string("error", "request rejected by the host"));
        return document;
    } catch (const http_error &error) {
        throw operator_error(0, m_host + ": " + error.what());
    } catch (const json_error &error) {
        throw operator_error(0, m_host + ": unexpected response: " + error.what());
    }
}

table_snapshot operator_client::readTable()
{
    const json_value document = call("GET", "/admin/v1/table", "");
    return {document.integer("revision"), parseTable(document.string("table"))};
}

edit_report operator_client::sendEdits(const std::vector<table_edit> &edits)
{
    const std::string body = encodeEditRequest({randomHex(editIdBytes), edits});
    for (int attempt = 1;; ++attempt) {
        try {
            const json_value document = call("POST", "/admin/v1/table", body);
            edit_report report;
            report.status = document.string("status");
            report.revision = document.integer("revision");
            report.message = document.string("message");
            const json_value pendingHosts = document.get("not_in_force_on");
            for (std::size_t i = 0; i < pendingHosts.size(); ++i)
                report.notInForceOn.push_back(pendingHosts.at(i).asString());
            if (report.status != "unknown" || attempt == maxSendAttempts)
                return report;
        } catch (const operator_error &error) {
            // A retry is idempotent: the host recognizes the identifier of an edit already stored.
            if (error.status() != 0 || attempt == maxSendAttempts)
                throw;
        }
    }
}

row_set operator_client::readRows(const std::string &path, const std::vector<std::string> &columns)
{
    const json_value list = call("GET", path, "").get("rows");
    row_set result;
    result.columns = columns;
    for (std::size_t i = 0; i < list.size(); ++i) {
        std::vector<std::string> row;
        row.reserve(columns.size());
        for (const std::string &column : columns)
            row.push_back(list.at(i).string(column.c_str(), ""));
        result.rows.push_back(std::move(row));
    }
    return result;
}

std::string describeEdits(const table &current, const std::vector<table_edit> &edits)
{
    const std::vector<std::string> columns = tableColumns();
    std::string text;
    for (const table_edit &edit : edits) {
        const table_row *before = findRow(current, edit.row.workspace, edit.row.version);
        const std::string name = edit.row.workspace + "/" + edit.row.version;
        if (edit.remove || before == nullptr) {
            text += (edit.remove ? "- " : "+ ") + name + '\n';
            continue;
        }
        const std::vector<std::string> old = cellsOf(*before);
        const std::vector<std::string> updated = cellsOf(edit.row);
        text += "~ " + name;
        for (std::size_t i = 0; i < columns.size(); ++i)
            if (old[i] != updated[i] && columns[i] != rowVersionColumn)
                text += " " + columns[i] + ": " + old[i] + " -> " + updated[i];
        text += '\n';
    }
    return text;
}

table_row withColumn(const table_row &row, const std::string &column, const std::string &value)
{
    const std::vector<std::string> columns = tableColumns();
    const auto found = std::find(columns.begin(), columns.end(), column);
    const bool isReadOnly
        = column == "workspace" || column == "version" || column == rowVersionColumn;
    if (found == columns.end() || isReadOnly)
        throw table_error("column '" + column + "' does not exist or cannot be set");
    std::vector<std::string> cells = cellsOf(row);
    cells[static_cast<std::size_t>(found - columns.begin())] = value;
    return rowFromCells(cells);
}

} // namespace goldcrestdeck
