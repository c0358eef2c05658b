// The operators' command line. Exit codes: 0 done and in force, 1 failed, 2 usage error, 3 rejected
// (conflict or invalid row; nothing was applied), 4 stored but not yet in force on every host, 5 no
// response.

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

#include "goldcrestdeck/http_client.h"
#include "goldcrestdeck/json.h"
#include "goldcrestdeck/log_search.h"
#include "goldcrestdeck/operator_client.h"

namespace goldcrestdeck {
namespace {

namespace options = boost::program_options;

constexpr int exitDone = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
constexpr int exitRejected = 3;
constexpr int exitNotInForce = 4;
constexpr int exitNoResponse = 5;

constexpr const char *usage = R"(goldcrestctl [options] COMMAND

  table get                    print the table as CSV, for version control
  table diff FILE              show what applying FILE would change
  table apply FILE             change the table to match FILE
  table set WORKSPACE VERSION COLUMN=VALUE...
                               change one row
  hosts                        the entry hosts: which are voters, live or watchers
  refusals [WORKSPACE]         all refused requests: workspace, time, whether it ran
  bills                        requests and cost for each workspace and version
  explain WORKSPACE [MODEL] [CLASS]
                               which version a request would be routed to, and why
  trace TRACE_ID               the spans of one trace on this host
  trace REQUEST_ID FILE...     log lines of one request, ordered by time, with its hosts' state changes
                               within --around of it; needs no host
  router ADDRESS               a router daemon's current view; ADDRESS is ip:port of its metrics

Exit codes: 0 done and in force, 1 failed, 2 usage, 3 rejected and nothing applied,
4 stored but not yet in force everywhere, 5 no response.
)";

struct command_line {
    std::vector<std::string> words;
    std::string host;
    std::string token;
    output_format format = output_format::aligned;
    std::chrono::milliseconds around{0};
};

class usage_error : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

std::string fromEnvironment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

output_format parseOutputFormat(const std::string &name)
{
    if (name == "table")
        return output_format::aligned;
    if (name == "csv")
        return output_format::csv;
    if (name == "json")
        return output_format::json;
    throw usage_error("--output is table, csv or json");
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw usage_error(path + ": cannot be read");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

table readTableFile(const std::string &path)
{
    try {
        return parseTable(readFile(path));
    } catch (const table_error &error) {
        throw table_error(path + ": " + error.what());
    }
}

/// Prints the result of an edit. \returns the exit code.
int report(const edit_report &edit)
{
    std::cout << edit.status;
    if (edit.revision != 0)
        std::cout << " revision " << edit.revision;
    if (!edit.message.empty())
        std::cout << ": " << edit.message;
    if (!edit.notInForceOn.empty()) {
        std::cout << ", not yet in force on";
        for (const std::string &host : edit.notInForceOn)
            std::cout << ' ' << host;
    }
    std::cout << '\n';
    if (edit.status == "accepted")
        return exitDone;
    if (edit.status == "stored")
        return exitNotInForce;
    return edit.status == "rejected" ? exitRejected : exitNoResponse;
}

const std::string &argumentAt(const command_line &line, std::size_t index, const char *description)
{
    if (index >= line.words.size())
        throw usage_error(std::string("missing ") + description);
    return line.words[index];
}

int setColumns(const command_line &line, operator_client &client)
{
    const table_snapshot current = client.readTable();
    const std::string &workspace = argumentAt(line, 2, "WORKSPACE");
    const std::string &version = argumentAt(line, 3, "VERSION");
    argumentAt(line, 4, "COLUMN=VALUE");
    const table_row *row = findRow(current.rows, workspace, version);
    if (row == nullptr)
        throw table_error("no row " + workspace + "/" + version);
    table_row wanted = *row;
    for (std::size_t i = 4; i < line.words.size(); ++i) {
        const std::size_t equals = line.words[i].find('=');
        if (equals == std::string::npos)
            throw usage_error("expected COLUMN=VALUE, not '" + line.words[i] + "'");
        wanted
            = withColumn(wanted, line.words[i].substr(0, equals), line.words[i].substr(equals + 1));
    }
    return report(client.sendEdits({{row->rowVersion, false, wanted}}));
}

int tableCommand(const command_line &line, operator_client &client)
{
    const std::string &verb = argumentAt(line, 1, "get, diff, apply or set");
    if (verb == "set")
        return setColumns(line, client);
    if (verb == "get") {
        std::cout << renderTable(client.readTable().rows);
        return exitDone;
    }
    if (verb != "diff" && verb != "apply")
        throw usage_error("unknown command 'table " + verb + "'");
    const table wanted = readTableFile(argumentAt(line, 2, "FILE"));
    const table_snapshot current = client.readTable();
    const std::vector<table_edit> edits = diffTables(current.rows, wanted);
    std::cout << describeEdits(current.rows, edits);
    if (verb == "diff" || edits.empty())
        return exitDone;
    return report(client.sendEdits(edits));
}

int rowsCommand(const command_line &line, operator_client &client)
{
    const std::string &command = line.words.front();
    row_set rows;
    if (command == "hosts") {
        rows = client.readRows(
            "/admin/v1/hosts",
            {"host", "failure_domain", "peer_address", "voter", "live", "watcher"});
    } else if (command == "bills") {
        rows = client.readRows("/admin/v1/bills",
                               {"workspace", "version", "requests", "cost_micros"});
    } else if (command == "refusals") {
        rows = client.readRows("/admin/v1/refusals",
                               {"unix_ms", "workspace", "request_id", "code", "run"});
        if (line.words.size() > 1) {
            row_set matching{rows.columns, {}};
            for (const auto &row : rows.rows)
                if (row[1] == line.words[1])
                    matching.rows.push_back(row);
            rows = matching;
        }
    } else if (command == "explain") {
        std::string path = "/admin/v1/explain?workspace=" + argumentAt(line, 1, "WORKSPACE");
        if (line.words.size() > 2)
            path += "&model=" + line.words[2];
        if (line.words.size() > 3)
            path += "&class=" + line.words[3];
        rows = client.readRows(path,
                               {"version", "cost_micros", "target", "quality_mean",
                                "quality_lower_bound", "ratings", "share", "reason"});
    } else if (command == "trace") {
        rows = client.readRows(
            "/admin/v1/spans?trace=" + argumentAt(line, 1, "TRACE_ID"),
            {"name", "spanId", "parentSpanId", "startTimeUnixNano", "endTimeUnixNano"});
    } else {
        throw usage_error("unknown command '" + command + "'");
    }
    std::cout << renderRows(rows, line.format);
    return exitDone;
}

int traceLogFiles(const command_line &line)
{
    log_search search;
    for (std::size_t i = 2; i < line.words.size(); ++i) {
        std::istringstream lines(readFile(line.words[i]));
        for (std::string text; std::getline(lines, text);)
            search.add(text);
    }
    const std::vector<log_line> found = search.find(line.words[1], line.around);
    for (const log_line &entry : found)
        std::cout << entry.text << '\n';
    if (search.malformedCount() > 0)
        std::cerr << "goldcrestctl: " << search.malformedCount()
                  << " malformed log lines were skipped\n";
    if (found.empty())
        std::cerr << "goldcrestctl: no log line mentions " << line.words[1] << '\n';
    return found.empty() ? exitFailed : exitDone;
}

row_set rowsOf(const json_value &list, const std::vector<std::string> &columns)
{
    row_set rows{columns, {}};
    for (std::size_t i = 0; i < list.size(); ++i) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (const std::string &column : columns)
            cells.push_back(list.at(i).string(column.c_str()));
        rows.rows.push_back(cells);
    }
    return rows;
}

int printRouterState(const command_line &line)
{
    http_request request;
    request.url = "http://" + argumentAt(line, 1, "ADDRESS") + "/belief";
    const http_response response = http_client().send(request);
    const json_value routerState = json_value::parse(response.body);
    row_set summary{{"belief", "value"}, {}};
    for (const char *name : {"host", "hears_from"})
        summary.rows.push_back({name, routerState.string(name)});
    for (const char *name : {"config_version", "store_revision", "confirmed_ms_ago"})
        summary.rows.push_back({name, std::to_string(routerState.integer(name))});
    summary.rows.push_back(
        {"store_reachable", routerState.boolean("store_reachable") ? "yes" : "no"});
    std::cout << renderRows(summary, line.format) << '\n'
              << renderRows(rowsOf(routerState.get("instances"),
                                   {"instance", "service", "version", "address", "state"}),
                            line.format)
              << '\n'
              << renderRows(rowsOf(routerState.get("rollouts"),
                                   {"service", "target", "stage", "judged_bad_here"}),
                            line.format)
              << '\n';
    // Routers of earlier builds do not have it.
    if (routerState.has("evacuated_domains"))
        std::cout << renderRows(
            rowsOf(routerState.get("evacuated_domains"), {"domain", "evacuated_ms_ago"}),
            line.format)
                  << '\n';
    std::cout << renderRows(rowsOf(routerState.get("hosts"), {"host", "address", "failure_domain"}),
                            line.format);
    return exitDone;
}

bool needsNoHost(const command_line &line)
{
    return line.words.front() == "router"
        || (line.words.front() == "trace" && line.words.size() > 2);
}

command_line parseCommandLine(int argc, char **argv)
{
    options::options_description visible("Options");
    visible.add_options()("help", "show this text")(
        "host", options::value<std::string>()->default_value(fromEnvironment("GOLDCREST_HOST")),
        "http://ip:port of any entry host; also GOLDCREST_HOST")(
        "token",
        options::value<std::string>()->default_value(fromEnvironment("GOLDCREST_TOKEN"), ""),
        "the operator's token; preferably given as GOLDCREST_TOKEN")(
        "output", options::value<std::string>()->default_value("table"),
        "table, csv or json")("around", options::value<unsigned>()->default_value(0),
                              "for trace with files: milliseconds before and after the request");
    options::options_description all;
    all.add(visible).add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map values;
    options::store(
        options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
    if (values.count("help") > 0 || values.count("words") == 0) {
        std::cout << usage << '\n' << visible;
        std::exit(values.count("help") > 0 ? exitDone : exitUsage);
    }
    command_line line;
    line.words = values["words"].as<std::vector<std::string>>();
    line.host = values["host"].as<std::string>();
    line.token = values["token"].as<std::string>();
    line.format = parseOutputFormat(values["output"].as<std::string>());
    line.around = std::chrono::milliseconds(values["around"].as<unsigned>());
    if (line.host.empty() && !needsNoHost(line))
        throw usage_error("no host given; set --host or GOLDCREST_HOST");
    return line;
}

int run(int argc, char **argv)
{
    try {
        const command_line line = parseCommandLine(argc, argv);
        if (needsNoHost(line))
            return line.words.front() == "router" ? printRouterState(line) : traceLogFiles(line);
        operator_client client(line.host, line.token);
        return line.words.front() == "table" ? tableCommand(line, client)
                                             : rowsCommand(line, client);
    } catch (const usage_error &error) {
        std::cerr << "goldcrestctl: " << error.what() << " (see --help)\n";
        return exitUsage;
    } catch (const options::error &error) {
        std::cerr << "goldcrestctl: " << error.what() << " (see --help)\n";
        return exitUsage;
    } catch (const table_error &error) {
        std::cerr << "goldcrestctl: " << error.what() << "; nothing was applied\n";
        return exitRejected;
    } catch (const http_error &error) {
        std::cerr << "goldcrestctl: " << error.what() << '\n';
        return exitNoResponse;
    } catch (const json_error &error) {
        std::cerr << "goldcrestctl: malformed response: " << error.what() << '\n';
        return exitFailed;
    } catch (const operator_error &error) {
        std::cerr << "goldcrestctl: " << error.what() << '\n';
        return error.status() == 0 ? exitNoResponse : exitFailed;
    }
}

} // namespace
} // namespace goldcrestdeck

int main(int argc, char **argv)
{
    return goldcrestdeck::run(argc, argv);
}
