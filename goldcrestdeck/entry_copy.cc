#include "goldcrestdeck/entry_copy.h"

#include <algorithm>
#include <utility>

namespace goldcrestdeck {

namespace {

/// Four copies of 1.2 MB take a link of 10 Mbit/s some 4 s, less than a copy's greatest age.
constexpr std::size_t maxSessions = 4;
/// After this time without a request the asking host has given up; its copy frees its place.
constexpr std::chrono::seconds sessionTimeout{5};
/// Size of a part: sent in 0.1 s on a link of 10 Mbit/s, so that changes and departures do not wait
/// long behind it.
constexpr std::size_t maxPartBytes = 128 * 1024;
/// Many times the size of a configuration of 1 MB with all other entries. Bounds what a faulty
/// host can make this one hold.
constexpr std::size_t maxCopyBytes = 16 * 1024 * 1024;

std::size_t sizeOf(const copy_piece &piece)
{
    return piece.item.key.size() + piece.item.value.size();
}

} // namespace

copy_part nextPart(const std::vector<kv_item> &items, copy_position &position, std::size_t maxBytes)
{
    copy_part part;
    std::size_t used = 0;
    while (position.item < items.size()) {
        const kv_item &item = items[position.item];
        if (!part.pieces.empty() && used + item.key.size() >= maxBytes)
            return part;
        const std::size_t room
            = std::max<std::size_t>(1, maxBytes - std::min(maxBytes, used + item.key.size()));
        const std::size_t length = std::min(room, item.value.size() - position.offset);
        copy_piece piece{{item.key, item.value.substr(position.offset, length), item.revision},
                         position.offset + length < item.value.size()};
        used += sizeOf(piece);
        part.pieces.push_back(std::move(piece));
        if (part.pieces.back().continues) {
            position.offset += length;
            return part;
        }
        ++position.item;
        position.offset = 0;
    }
    part.isLast = true;
    return part;
}

bool copy_assembly::add(const copy_part &part)
{
    if (m_isComplete || (part.pieces.empty() && !part.isLast))
        return false;
    for (const copy_piece &piece : part.pieces) {
        m_bytes += sizeOf(piece);
        if (m_bytes > maxCopyBytes)
            return false;
        if (!m_isContinued) {
            m_items.push_back(piece.item);
        } else {
            kv_item &last = m_items.back();
            if (last.key != piece.item.key || last.revision != piece.item.revision)
                return false;
            last.value += piece.item.value;
        }
        m_isContinued = piece.continues;
    }
    m_isComplete = part.isLast;
    return !(m_isComplete && m_isContinued);
}

bool copy_sessions::mayBegin(const std::string &host, time_point now)
{
    dropIdle(now);
    return m_sessions.size() < maxSessions || m_sessions.count(host) > 0;
}

void copy_sessions::begin(const std::string &host, entry_copy copy, time_point now)
{
    m_sessions[host] = {std::move(copy), {}, 0, now};
}

std::optional<copy_sessions::served_part> copy_sessions::take(const std::string &host,
                                                              std::uint32_t number,
                                                              std::uint64_t epoch, time_point now)
{
    const auto found = m_sessions.find(host);
    if (found == m_sessions.end())
        return std::nullopt;
    session &current = found->second;
    if (current.nextNumber != number || current.copy.epoch != epoch) {
        m_sessions.erase(found);
        return std::nullopt;
    }
    served_part served{nextPart(current.copy.items, current.position, maxPartBytes), number,
                       current.copy.revision, current.copy.items.size()};
    ++current.nextNumber;
    current.lastRequestAt = now;
    if (served.part.isLast)
        m_sessions.erase(found);
    return served;
}

void copy_sessions::dropIdle(time_point now)
{
    for (auto i = m_sessions.begin(); i != m_sessions.end();) {
        if (now - i->second.lastRequestAt >= sessionTimeout)
            i = m_sessions.erase(i);
        else
            ++i;
    }
}

} // namespace goldcrestdeck
