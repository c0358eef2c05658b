#ifndef GOLDCRESTDECK_FEED_CACHE_H_
#define GOLDCRESTDECK_FEED_CACHE_H_

/// \file
/// A host's copy of the entries in the key-value service, from which it serves the change feed to
/// other hosts.
///
/// Every change that is read has to be passed in. Writes that only repeat the known value, such as
/// heartbeats, are left out of the served feed. changesSince() returns what another host lacks,
/// unless the other host may have missed a deletion that is not recorded here.
/// preferredFeedSources() determines which hosts poll which. Performs no I/O.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/async_kv_store.h"

namespace goldcrestdeck {

class feed_cache
{
public:
    /// Whether the second item, a later one of the same key, is equivalent to the first.
    using equivalence_test = std::function<bool(const kv_item &, const kv_item &)>;

    /// Records at most \a maxDeletions deletions; the oldest are pruned first.
    feed_cache(std::size_t maxDeletions, equivalence_test isEquivalent);

    /// Records one change, unless it is equivalent to the known item. Changes are served only after
    /// setRevision(), to be called once all of them have been passed in.
    void put(const kv_item &item);
    /// Like put(), but always records a change: earlier writes of the key may not have been passed
    /// in, so equivalence to the known item does not imply that nothing has changed since.
    void putAsChange(const kv_item &item);
    void remove(const std::string &key, std::uint64_t revision);
    /// Replaces all items after a full read; keys that are not in \a items have been deleted.
    /// \a revision is the one at the start of the read. The read is not a snapshot: some items may
    /// be newer than \a revision, and other changes made meanwhile may be absent.
    void replaceAll(const std::vector<kv_item> &items, std::uint64_t revision);
    /// Forgets everything: the service has a new history, whose revisions begin again.
    void reset();
    /// All changes up to \a revision have been passed in.
    void setRevision(std::uint64_t revision);
    std::uint64_t revision() const { return m_revision; }
    /// False from replaceAll() until the next setRevision().
    bool isCaughtUp() const { return m_isCaughtUp; }

    /// Returns the changes after revision \a after, oldest first, or nullopt if some of them are
    /// not known here. The caller must know nothing newer than \a after; after a full read, which
    /// is not a snapshot, it polls the service first.
    std::optional<kv_changes> changesSince(std::uint64_t after) const;

    /// Returns all items, in the order of keys, or nullopt if they are not complete up to
    /// revision() or some are newer.
    std::optional<std::vector<kv_item>> completeItems() const;

private:
    void recordDeletion(const std::string &key, std::uint64_t revision);

    std::size_t m_maxDeletions;
    equivalence_test m_isEquivalent;
    std::map<std::string, kv_item> m_items;
    std::map<std::string, std::uint64_t> m_deletedAt;
    /// Keys that a full read no longer contained. Their deletion revisions are unknown, but at most
    /// that of the next setRevision().
    std::set<std::string> m_absentKeys;
    /// Deletions up to this revision may have been pruned, or may never have been seen.
    std::uint64_t m_prunedUpTo = 0;
    /// All changes since the start of the last full read have been passed in, including those that
    /// the read missed.
    bool m_isCaughtUp = false;
    /// The latest gap, skipped by a full read: keys may have been created and deleted between these
    /// revisions without being seen here.
    std::uint64_t m_gapFrom = 0;
    std::uint64_t m_gapTo = 0;
    std::uint64_t m_revision = 0;
};

/// A host's entry in the key-value service.
struct registered_host {
    std::string name;
    std::string address; ///< "ip:port" on which other hosts reach it.
    std::string failureDomain;
    /// "ip:port" on which it takes requests that other hosts hand over; empty if it takes none.
    std::string handoverAddress;
};

bool operator==(const registered_host &a, const registered_host &b);

std::string encodeRegisteredHost(const registered_host &host);
/// \throws json_error
registered_host decodeRegisteredHost(const std::string &name, const std::string &text);

/// Returns the hosts that \a self polls for changes, in order of preference: those ranked above it,
/// in an order that all hosts compute alike, within its failure domain, or within the whole fleet
/// where the domain has few hosts. The highest-ranked host gets an empty list and polls the
/// service, as does any other host while those above it do not reply.
std::vector<registered_host>
preferredFeedSources(const registered_host &self,
                     const std::map<std::string, registered_host> &hosts);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_FEED_CACHE_H_
