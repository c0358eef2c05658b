#ifndef GOLDCRESTDECK_TABLE_H_
#define GOLDCRESTDECK_TABLE_H_

/// \file
/// The operators' table: one row for each workspace and version.
///
/// A table is a value. parseTable() and renderTable() convert it from and to CSV, diffTables()
/// returns the edits between two tables, and applyEdits() returns a new table or reports a
/// conflict. Each edit states the row version that it is based on (optimistic locking): concurrent
/// edits of the same row conflict, and edits of different rows both succeed.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestdeck/errors.h"

namespace goldcrestdeck {

/// Which requests of a workspace a version accepts.
enum class row_state {
    active,    ///< All requests.
    withdrawn, ///< Only requests of sessions that are pinned to it.
    barred     ///< None.
};

/// The kind of calls that a version serves, and whether they may be executed more than once.
enum class call_kind {
    completion,  ///< Chat completions of a model; idempotent.
    idempotent,  ///< Calls of a plain service that may be repeated.
    at_most_once ///< Calls of a plain service that must not be repeated.
};

/// Under overload, requests with lower levels are shed later. Lookups and dispatches have level 0.
using priority_level = std::uint8_t;
constexpr priority_level lowestPriority = 3;

/// Keeps the encoded configuration within the key-value service's limit on the size of a value.
constexpr std::size_t maxTableRows = 4000;

struct table_row {
    std::string workspace;
    std::string version; ///< Model or service name, '@', version: "husk-small@3".
    row_state state = row_state::active;
    std::uint32_t weight = 0;            ///< Maximum share of new requests, in percent.
    std::uint32_t requestsPerSecond = 0; ///< Of the workspace; equal in all its rows.
    std::uint64_t costMicros = 0;        ///< Price of a call, in millionths of a franc.
    double qualityTarget = 0; ///< Wanted mean rating, 0 to 1; equal in all rows of a workspace.
    priority_level priority = 0;
    call_kind calls = call_kind::completion;
    std::string keySha256;        ///< SHA-256 of the workspace's API key; equal in all its rows.
    std::uint64_t rowVersion = 0; ///< Increased by each accepted edit of the row; 0 in a new file.
};

bool operator==(const table_row &a, const table_row &b);
bool operator!=(const table_row &a, const table_row &b);

/// Rows, sorted by workspace and version; each pair occurs at most once.
using table = std::vector<table_row>;

/// A change of one row.
struct table_edit {
    std::uint64_t expectedRowVersion = 0; ///< 0 if the row must not exist yet.
    bool remove = false;
    table_row row;
};

/// The name in a version: "husk-small" for "husk-small@3".
std::string modelOf(const std::string &version);

const char *toString(row_state state);
const char *toString(call_kind calls);

/// The row for \a workspace and \a version, or nullptr.
const table_row *findRow(const table &rows, std::string_view workspace, std::string_view version);

/// \throws table_error naming the line and column of the first error.
table parseTable(const std::string &csv);

std::string renderTable(const table &rows);

/// The column names, and a row's values in the order of the columns, as in the CSV.
std::vector<std::string> tableColumns();
std::vector<std::string> cellsOf(const table_row &row);
/// \throws table_error naming the column of an invalid value.
table_row rowFromCells(const std::vector<std::string> &cells);

/// \throws table_error if there are too many rows, if rows of a workspace differ in a value that
/// belongs to the workspace, or if two workspaces have the same key.
void validateTable(const table &rows);

/// \returns the edits that turn \a current into \a wanted, based on the row versions in \a current.
/// \throws table_error if a row version in \a wanted is neither 0 nor the current one: the file
/// that it was read from is stale.
std::vector<table_edit> diffTables(const table &current, const table &wanted);

/// Applies all \a edits or none. \a rowVersion becomes the version of the changed rows. It must
/// never have been used before; otherwise an edit based on a row that has since been deleted and
/// created again would be accepted. \throws table_error("conflict: ...") if an edit is not based on
/// the current row version.
table applyEdits(const table &current, const std::vector<table_edit> &edits,
                 std::uint64_t rowVersion);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TABLE_H_
