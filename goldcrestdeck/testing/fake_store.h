#ifndef GOLDCRESTDECK_TESTING_FAKE_STORE_H_
#define GOLDCRESTDECK_TESTING_FAKE_STORE_H_

/// \file
/// An in-memory key-value service with fault injection.

#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "goldcrestdeck/kv_store.h"

namespace goldcrestdeck {

enum class store_fault {
    none,
    lost_request, ///< The write has no effect and gets no reply.
    lost_reply    ///< The write takes effect but gets no reply.
};

class fake_store
{
public:
    /// \returns functions that operate on this object, which must outlive them.
    kv_store asKvStore()
    {
        kv_store store;
        store.get = [this](const std::string &key) { return get(key); };
        store.revisionOf = [this](const std::string &key) {
            const auto found = get(key);
            return found ? found->revision : 0;
        };
        store.compareAndSwap
            = [this](const std::string &key, revision_number expected, const std::string &value) {
                  return swap(key, expected, value);
              };
        return store;
    }

    /// While down, the store throws platform_error on every call.
    void setDown(bool down)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_down = down;
    }

    /// Injects these faults into the next writes, one each.
    void planFaults(const std::deque<store_fault> &faults)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_faults = faults;
    }

    std::size_t writes() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_writes;
    }

private:
    std::optional<kv_value> get(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_down)
            throw platform_error("store is down");
        const auto found = m_values.find(key);
        return found == m_values.end() ? std::nullopt : std::optional<kv_value>(found->second);
    }

    std::optional<revision_number> swap(const std::string &key, revision_number expected,
                                        const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_down)
            throw platform_error("store is down");
        store_fault fault = store_fault::none;
        if (!m_faults.empty()) {
            fault = m_faults.front();
            m_faults.pop_front();
        }
        if (fault == store_fault::lost_request)
            throw platform_error("request lost");
        ++m_writes;
        const auto found = m_values.find(key);
        const revision_number current = found == m_values.end() ? 0 : found->second.revision;
        const bool matches = current == expected;
        if (matches)
            m_values[key] = {value, ++m_revision};
        if (fault == store_fault::lost_reply)
            throw platform_error("reply lost");
        return matches ? std::optional<revision_number>(m_revision) : std::nullopt;
    }

    mutable std::mutex m_mutex;
    std::map<std::string, kv_value> m_values;
    revision_number m_revision = 0;
    std::deque<store_fault> m_faults;
    std::size_t m_writes = 0;
    bool m_down = false;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TESTING_FAKE_STORE_H_
