#ifndef GOLDCRESTDECK_OPERATOR_CLIENT_H_
#define GOLDCRESTDECK_OPERATOR_CLIENT_H_

/// \file
/// The functions behind the command line of goldcrestctl: requests to the admin interface of a
/// host, and formatting of the rows returned.

#include <string>
#include <vector>

#include "goldcrestdeck/config.h"
#include "goldcrestdeck/errors.h"
#include "goldcrestdeck/http_client.h"
#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

/// The host did not respond, or rejected the request. Status 0: no response, or one that could not
/// be parsed.
class operator_error : public std::runtime_error
{
public:
    operator_error(long status, const std::string &message)
        : std::runtime_error(message)
        , m_status(status)
    { }
    long status() const { return m_status; }

private:
    long m_status;
};

enum class output_format { aligned, csv, json };

/// Rows of named text cells, each row with the same columns.
struct row_set {
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

std::string renderRows(const row_set &rows, output_format format);

struct table_snapshot {
    revision_number revision = 0;
    table rows;
};

/// The outcome of an edit as reported by the host.
struct edit_report {
    std::string status;
    revision_number revision = 0;
    std::string message;
    std::vector<std::string> notInForceOn;
};

class operator_client
{
public:
    /// \a host is "http://ip:port"; \a token is the operator's bearer token.
    operator_client(std::string host, std::string token);

    // The following functions throw operator_error.
    table_snapshot readTable();
    /// Sends the edits; retries with the same edit identifier while the outcome is unknown.
    edit_report sendEdits(const std::vector<table_edit> &edits);
    row_set readRows(const std::string &path, const std::vector<std::string> &columns);
    json_value call(const std::string &method, const std::string &path, const std::string &body);

private:
    http_client m_client;
    std::string m_host;
    std::string m_token;
};

/// \returns a readable summary with one line per edit, which begins with + for an added row, - for
/// a removed one and ~ for a changed one.
std::string describeEdits(const table &current, const std::vector<table_edit> &edits);

/// \returns the row with one column replaced. \throws table_error for an unknown column or bad
/// value.
table_row withColumn(const table_row &row, const std::string &column, const std::string &value);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_OPERATOR_CLIENT_H_
