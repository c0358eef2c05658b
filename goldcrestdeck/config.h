#ifndef GOLDCRESTDECK_CONFIG_H_
#define GOLDCRESTDECK_CONFIG_H_

/// \file
/// The one configuration value in the key-value service: the table and the hosts that vote on it.
///
/// Its revision is the key-value service's modification revision. Every change, of rows or of
/// voters, is a compare-and-swap of the whole value, so all hosts see one order of changes.
///
/// Voters change by joint consensus: while previousVoters is not empty, a quorum needs a majority
/// of both sets. finishJoint() may be called only once the revision has been accepted.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/table.h"

namespace goldcrestdeck {

/// Modification revision of the configuration value; 0 is none.
using revision_number = std::uint64_t;

/// An entry host as its peers know it.
struct host_entry {
    std::string name;
    std::string peerAddress; ///< "ip:port" of its peer link.
    std::string failureDomain;
};

bool operator==(const host_entry &a, const host_entry &b);

struct config {
    table rows;
    std::vector<host_entry> voters;
    std::vector<host_entry> previousVoters;
    std::vector<host_entry> joining;
    std::uint64_t editCount = 0; ///< Raised by each change of rows; never reused as a row version.
    std::vector<std::string> recentEdits; ///< Identifiers of the newest edits, oldest first.
};

bool operator==(const config &a, const config &b);

using host_names = std::set<std::string>;

const host_entry *findHost(const std::vector<host_entry> &hosts, const std::string &name);
host_names namesOf(const std::vector<host_entry> &hosts);

/// Whether \a present holds a majority of the voters and, during a change of them, of the previous
/// ones as well.
bool hasQuorum(const config &current, const host_names &present);

/// Whether every set that hasQuorum() takes shares a host with \a present: half of the voters and,
/// during a change of them, half of the previous ones as well.
bool meetsEveryQuorum(const config &current, const host_names &present);

/// The value as kept in the key-value service (JSON).
std::string encodeConfig(const config &value);

/// \throws table_error if \a text is not such a value.
config decodeConfig(const std::string &text);

/// Edits as sent by an operator: {"edit_id": ..., "edits": [...]}.
struct edit_request {
    std::string editId;
    std::vector<table_edit> edits;
};

std::string encodeEditRequest(const edit_request &request);

/// \throws table_error
edit_request decodeEditRequest(const std::string &text);

/// \throws table_error on a conflict.
config applyEditRequest(const config &current, const edit_request &request);

/// Whether the edit is among the newest that \a current holds: how a lost reply is settled.
bool holdsEdit(const config &current, const std::string &editId);

/// The configuration with \a host asking to vote, or with its new address where it votes already.
config withJoining(const config &current, const host_entry &host);

/// Begins a change of voters: admits those joining and drops \a dead. Call it only outside another
/// change. \returns \a current unchanged where there is nothing to do.
config beginJoint(const config &current, const host_names &dead);

/// Ends a change of voters whose revision has been accepted.
config finishJoint(const config &current);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_CONFIG_H_
