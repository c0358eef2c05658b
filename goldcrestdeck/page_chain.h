#ifndef GOLDCRESTDECK_PAGE_CHAIN_H_
#define GOLDCRESTDECK_PAGE_CHAIN_H_

/// \file
/// A growing record in the key-value service, stored as a chain of pages that are modified only by
/// compare-and-swap.
///
/// Only the head page is modified. The write that makes a page exceed maxPageBytes seals it: it is
/// never modified again, and the first host to read the sealed page creates its successor. Page is
/// account_page or ledger_page: a struct with the members number and sealed, and the overloads
/// encode(page), decode(text, page) and successor(page).

#include <functional>
#include <string>
#include <utility>

#include "goldcrestdeck/kv_store.h"

namespace goldcrestdeck {

/// Leaves room below the service's limit on value size for the write that fills and seals a page.
constexpr std::size_t maxPageBytes = 256 * 1024;

template<typename Page>
class page_chain
{
public:
    page_chain(kv_store store, std::string prefix)
        : m_store(std::move(store))
        , m_prefix(std::move(prefix))
    { }

    /// Reads the current head, creating it if necessary. \a onSealed is called once for each sealed
    /// page that is read on the way.
    /// \throws platform_error
    void refresh(const std::function<void(const Page &)> &onSealed)
    {
        for (;;) {
            const std::optional<kv_value> found = m_store.get(keyOf(m_head.number));
            if (found) {
                decode(found->value, m_head);
                m_revision = found->revision;
            } else if (!create(m_head)) {
                continue;
            }
            if (!m_head.sealed)
                return;
            onSealed(m_head);
            m_head = successor(m_head);
            m_revision = 0;
        }
    }

    const Page &head() const { return m_head; }
    bool isLoaded() const { return m_revision != 0; }

    /// Replaces the head with \a next. \returns false if another host has modified the head: call
    /// refresh() and retry. \throws platform_error if the effect of the write is unknown:
    /// call refresh() to find out.
    bool replace(Page next)
    {
        std::string text = encode(next);
        if (text.size() > maxPageBytes) {
            next.sealed = true;
            text = encode(next);
        }
        const std::optional<revision_number> written
            = m_store.compareAndSwap(keyOf(next.number), m_revision, text);
        if (!written)
            return false;
        m_head = std::move(next);
        m_revision = *written;
        return true;
    }

private:
    std::string keyOf(std::uint64_t number) const { return m_prefix + std::to_string(number); }

    bool create(const Page &page)
    {
        const std::optional<revision_number> written
            = m_store.compareAndSwap(keyOf(page.number), 0, encode(page));
        m_revision = written.value_or(0);
        return written.has_value();
    }

    kv_store m_store;
    std::string m_prefix;
    Page m_head;
    revision_number m_revision = 0;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_PAGE_CHAIN_H_
