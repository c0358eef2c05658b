#ifndef GOLDCRESTDECK_FEED_MEMORY_H_
#define GOLDCRESTDECK_FEED_MEMORY_H_

/// \file
/// What a host knows of the key-value service, kept so that other hosts can be told what has
/// changed.
///
/// Feed it every change that is read. Writes that repeat what was known, such as heartbeats, are
/// left out of what others are told: after() gives what another host lacks, as long as no deletion
/// that it may have missed is unknown here. Also which hosts ask which: hostsBefore(). No input or
/// output.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/async_kv_store.h"

namespace goldcrestdeck {

class feed_memory
{
public:
    /// Whether the second of two values of a key says the same as the first.
    using repeat_test = std::function<bool(const kv_item &, const kv_item &)>;

    /// Remembers at most \a maxDeletions deletions.
    feed_memory(std::size_t maxDeletions, repeat_test isRepeat);

    /// A single change says nothing of those before it: setRevision() follows once all are fed.
    void put(const kv_item &item);
    /// The same for changes of which others of the key may have been left out before.
    void putNews(const kv_item &item);
    void remove(const std::string &key, std::uint64_t revision);
    /// Everything was read anew: keys that are not in \a items are gone. The reading began at \a
    /// revision; items read later may be newer than that, others that changed meanwhile are not.
    void replaceAll(const std::vector<kv_item> &items, std::uint64_t revision);
    /// All changes up to \a revision are known.
    void setRevision(std::uint64_t revision);
    std::uint64_t revision() const { return m_revision; }
    /// False behind a reading, until setRevision().
    bool isComplete() const { return m_isComplete; }

    /// The changes behind \a after, oldest first; nothing if they are not all known here. The asker
    /// must know nothing beyond \a after: behind a reading, which is no snapshot, it first asks the
    /// service.
    std::optional<kv_changes> after(std::uint64_t after) const;

private:
    void noteDeletion(const std::string &key, std::uint64_t revision);

    std::size_t m_maxDeletions;
    repeat_test m_isRepeat;
    std::map<std::string, kv_item> m_items;
    std::map<std::string, std::uint64_t> m_deletedAt;
    /// Gone from a reading; when is not known, but not after the next setRevision().
    std::set<std::string> m_missing;
    std::uint64_t m_forgottenUpTo = 0; ///< Deletions up to this revision may be forgotten.
    /// All changes since the last reading began have been fed: what it missed is made up for.
    bool m_isComplete = false;
    /// Between these revisions keys may have come and gone unseen.
    std::uint64_t m_gapFrom = 0;
    std::uint64_t m_gapTo = 0;
    std::uint64_t m_revision = 0;
};

/// A host of the fleet, as it registers itself.
struct feed_host {
    std::string name;
    std::string address; ///< "ip:port" for other hosts.
    std::string failureDomain;
};

bool operator==(const feed_host &a, const feed_host &b);

std::string encodeFeedHost(const feed_host &host);
/// \throws json_error
feed_host decodeFeedHost(const std::string &name, const std::string &text);

/// The hosts that \a self asks for changes, best first: those that come before it in an order that
/// all share, of its failure domain, or of the whole fleet where the domain has only a few. The
/// first has none and asks the service itself, and so does any other while those before it do not
/// answer.
std::vector<feed_host> hostsBefore(const feed_host &self,
                                   const std::map<std::string, feed_host> &hosts);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_FEED_MEMORY_H_
