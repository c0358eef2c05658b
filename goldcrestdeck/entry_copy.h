#ifndef GOLDCRESTDECK_ENTRY_COPY_H_
#define GOLDCRESTDECK_ENTRY_COPY_H_

/// \file
/// A copy of all entries in the key-value service, which a host hands to another one that starts
/// while the service does not answer it.
///
/// The serving host keeps one copy in progress for each asking host (copy_sessions) and hands it
/// out part by part. The asking host puts the parts together (copy_assembly) and uses nothing of a
/// copy before its last part. A copy is the state at one revision. Performs no I/O.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/async_kv_store.h"
#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

struct copy_piece {
    kv_item item;           ///< The value, or a part of it.
    bool continues = false; ///< The next piece holds more of the value.
};

struct copy_part {
    std::vector<copy_piece> pieces;
    bool isLast = false;
};

/// All entries at one revision of one epoch.
struct entry_copy {
    std::vector<kv_item> items;
    std::uint64_t revision = 0;
    std::uint64_t epoch = 0;
};

/// A place in a copy, between two parts.
struct copy_position {
    std::size_t item = 0;
    std::size_t offset = 0; ///< In the item's value.
};

/// Returns the part of \a items that begins at \a position, and moves \a position to its end. Keys
/// and values of the part take up at most \a maxBytes, except for the key of its first piece.
copy_part nextPart(const std::vector<kv_item> &items, copy_position &position,
                   std::size_t maxBytes);

/// Puts the parts of a copy together.
class copy_assembly
{
public:
    /// Adds the next part. Returns false if it does not continue the last one, or if the copy gets
    /// larger than any that a host sends; the copy must then be dropped.
    bool add(const copy_part &part);
    bool isComplete() const { return m_isComplete; }
    /// The entries, once the copy is complete.
    const std::vector<kv_item> &items() const { return m_items; }

private:
    std::vector<kv_item> m_items;
    std::size_t m_bytes = 0;
    bool m_isContinued = false;
    bool m_isComplete = false;
};

/// The copies that a host hands out at present.
class copy_sessions
{
public:
    /// Returns whether a copy for \a host may begin now: it would not be one too many. A new copy
    /// replaces an earlier one of the same host.
    bool mayBegin(const std::string &host, time_point now);
    /// \pre mayBegin()
    void begin(const std::string &host, entry_copy copy, time_point now);

    struct served_part {
        copy_part part;
        std::uint32_t number = 0;
        std::uint64_t revision = 0;
        std::size_t items = 0; ///< Of the whole copy.
    };
    /// Returns part \a number of the copy for \a host, or nullopt if that is not its next part or
    /// the copy is not of \a epoch. The copy ends with its last part.
    std::optional<served_part> take(const std::string &host, std::uint32_t number,
                                    std::uint64_t epoch, time_point now);
    std::size_t count() const { return m_sessions.size(); }

private:
    struct session {
        entry_copy copy;
        copy_position position;
        std::uint32_t nextNumber = 0;
        time_point lastRequestAt;
    };

    void dropIdle(time_point now);

    std::map<std::string, session> m_sessions; ///< By asking host.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ENTRY_COPY_H_
