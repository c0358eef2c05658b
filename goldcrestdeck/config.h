#ifndef GOLDCRESTDECK_CONFIG_H_
#define GOLDCRESTDECK_CONFIG_H_

/// \file
/// The configuration, a single value in the key-value service: the table and the voting hosts.
///
/// Its revision is the key-value service's modification revision. Each change of rows or voters is
/// a compare-and-swap of the whole value, so all hosts see the changes in the same order.
///
/// The voters are changed by joint consensus: while previousVoters is not empty, a quorum needs a
/// majority of both sets. finishJoint() must not be called before the revision has been accepted.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/table.h"

namespace goldcrestdeck {

/// Modification revision of the configuration value; 0 is none.
using revision_number = std::uint64_t;

/// A host that serves client requests, as known to its peers.
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
    /// Incremented by each applied edit request, whose changed rows take it as their row version.
    /// So no row version is used twice.
    std::uint64_t editCount = 0;
    std::vector<std::string> recentEdits; ///< Identifiers of the latest edits, oldest first.
};

bool operator==(const config &a, const config &b);

using host_names = std::set<std::string>;

const host_entry *findHost(const std::vector<host_entry> &hosts, const std::string &name);
host_names namesOf(const std::vector<host_entry> &hosts);

/// Whether \a present contains a majority of the voters and, during a change of voters, also of the
/// previous ones.
bool hasQuorum(const config &current, const host_names &present);

/// Whether \a present intersects every quorum: it contains at least half of the voters and, during
/// a change of voters, also of the previous ones.
bool intersectsEveryQuorum(const config &current, const host_names &present);

/// The value as stored in the key-value service (JSON).
std::string encodeConfig(const config &value);

/// \throws table_error if \a text is not a valid configuration.
config decodeConfig(const std::string &text);

/// An operator's request to edit rows: {"edit_id": ..., "edits": [...]}.
struct edit_request {
    std::string editId;
    std::vector<table_edit> edits;
};

std::string encodeEditRequest(const edit_request &request);

/// \throws table_error
edit_request decodeEditRequest(const std::string &text);

/// \throws table_error on a conflict.
config applyEditRequest(const config &current, const edit_request &request);

/// Whether the edit is among the latest ones in \a current. A retry after a lost reply uses this to
/// find out whether the edit has been applied.
bool containsEdit(const config &current, const std::string &editId);

/// Adds \a host to the joining hosts or, if it is a voter already, updates its entry.
config withJoining(const config &current, const host_entry &host);

/// Begins a change of voters: adds the joining hosts and removes \a dead. Must not be called during
/// another change of voters. \returns \a current if the set of voters stays the same.
config beginJoint(const config &current, const host_names &dead);

/// Ends a change of voters; its revision must have been accepted.
config finishJoint(const config &current);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_CONFIG_H_
