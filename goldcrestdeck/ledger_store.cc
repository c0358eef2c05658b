// Group commit with a leader: the first thread to arrive writes the entries of all that are queued.
// A lost reply needs no special case: after any failure the page is read again, and a claim found
// there under the caller's own attempt identifier was won.

#include "goldcrestdeck/ledger_store.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

constexpr int maxWriteAttempts = 12;
constexpr std::chrono::milliseconds conflictBackOff{3};
constexpr std::size_t maxDeferred = 10'000;
/// Limits of one write of the account; they keep the page within the service's value size limit.
constexpr std::size_t maxWriteBytes = 256 * 1024;
constexpr std::size_t maxWriteBatches = 20'000;
constexpr std::size_t approxRefusalBytes = 128; ///< Per refusal in a page.

/// Backs off after a compare-and-swap conflict; the random delay grows with \a attempt.
void backOffAfterConflict(int attempt)
{
    const std::uint64_t jitter = stableHash(randomHex(8)) % static_cast<unsigned>(attempt + 1);
    std::this_thread::sleep_for(conflictBackOff * (1 + static_cast<int>(jitter)));
}

} // namespace

operation_ledger::operation_ledger(kv_store store, std::string prefix)
    : m_chain(std::move(store), std::move(prefix))
{ }

claim_result operation_ledger::claim(const ledger_entry &claim)
{
    pending_append request{claim, false, {}, nullptr};
    submit(request);
    if (request.error) {
        ledger_entry release = claim;
        release.event = ledger_event::release;
        defer(release);
        std::rethrow_exception(request.error);
    }
    return request.result;
}

void operation_ledger::append(const ledger_entry &entry)
{
    pending_append request{entry, false, {}, nullptr};
    submit(request);
    if (request.error)
        defer(entry);
}

void operation_ledger::defer(const ledger_entry &entry)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_deferred.size() < maxDeferred)
        m_deferred.push_back(entry);
}

void operation_ledger::appendDeferred()
{
    for (;;) {
        ledger_entry entry;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_deferred.empty())
                return;
            entry = m_deferred.front();
        }
        pending_append request{entry, false, {}, nullptr};
        submit(request);
        if (request.error)
            std::rethrow_exception(request.error);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_deferred.pop_front();
    }
}

void operation_ledger::submit(pending_append &request)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_queue.push_back(&request);
    m_changed.wait(lock, [&] { return request.finished || !m_writing; });
    if (request.finished)
        return;
    m_writing = true;
    std::vector<pending_append *> batch;
    batch.swap(m_queue);
    lock.unlock();
    std::exception_ptr error;
    try {
        writeBatch(batch);
    } catch (...) {
        error = std::current_exception();
    }
    lock.lock();
    m_writing = false;
    for (pending_append *item : batch) {
        item->finished = true;
        item->error = error;
    }
    m_changed.notify_all();
}

void operation_ledger::writeBatch(const std::vector<pending_append *> &batch)
{
    for (int attempt = 0; attempt < maxWriteAttempts; ++attempt) {
        try {
            const bool isFresh = !m_chain.isLoaded() || m_chain.head().sealed || attempt > 0;
            if (isFresh)
                refresh();
            if (tryWrite(batch, isFresh))
                return;
        } catch (const platform_error &) {
            if (attempt + 1 >= 2)
                throw;
            continue;
        } catch (const json_error &error) {
            throw platform_error(std::string("cannot decode ledger page: ") + error.what());
        }
        backOffAfterConflict(attempt);
    }
    throw platform_error("ledger page not written: too many compare-and-swap conflicts");
}

bool operation_ledger::tryWrite(const std::vector<pending_append *> &batch, bool isFresh)
{
    ledger_page next = m_chain.head();
    ledger_index index;
    for (const pending_append *item : batch)
        if (const auto sealed = m_sealedIndex.find(item->entry.operation))
            index.seed(item->entry.operation, *sealed);
    for (const ledger_entry &entry : next.entries)
        index.apply(entry);
    bool changed = false;
    for (pending_append *item : batch) {
        const ledger_entry &entry = item->entry;
        std::optional<operation_state> state = index.find(entry.operation);
        const bool isClaim = entry.event == ledger_event::claim;
        std::optional<claim_verdict> verdict = isClaim ? evaluateClaim(state, entry) : std::nullopt;
        // A done or release entry has no effect unless its attempt holds the claim.
        const bool isNoOp = !isClaim && (!state || state->attempt != entry.attempt || state->done);
        // A successful swap proves that the cached page is the newest one. A verdict or no-op
        // writes nothing, so the page has to be read first.
        if (!isFresh && (verdict || isNoOp))
            return false;
        if (!verdict && !isNoOp) {
            next.entries.push_back(entry);
            index.apply(entry);
            changed = true;
            state = index.find(entry.operation);
            verdict = claim_verdict::won;
        }
        item->result = {verdict.value_or(claim_verdict::won), state.value_or(operation_state())};
    }
    return !changed || m_chain.replace(std::move(next));
}

void operation_ledger::refresh()
{
    m_chain.refresh([this](const ledger_page &page) {
        for (const ledger_entry &entry : page.entries)
            m_sealedIndex.apply(entry);
    });
}

sharded_ledger::sharded_ledger(const kv_store &store, const std::string &prefix, std::size_t shards)
{
    for (std::size_t i = 0; i < shards; ++i)
        m_shards.push_back(
            std::make_unique<operation_ledger>(store, prefix + std::to_string(i) + "/"));
}

operation_ledger &sharded_ledger::shardOf(const std::string &operation)
{
    return *m_shards[stableHash(operation) % m_shards.size()];
}

void sharded_ledger::appendDeferred()
{
    for (const auto &shard : m_shards)
        shard->appendDeferred();
}

account_store::account_store(kv_store store, std::string prefix)
    : m_store(store)
    , m_prefix(prefix)
    , m_chain(std::move(store), std::move(prefix))
{ }

std::map<std::string, applied_set> account_store::write(const std::vector<account_batch> &batches)
{
    try {
        for (int attempt = 0; attempt < maxWriteAttempts; ++attempt) {
            // Until a write is known to have succeeded, the content of the page is unknown.
            if (m_stale || m_chain.head().sealed)
                m_chain.refresh([](const account_page &) {});
            m_stale = true;
            account_page next = m_chain.head();
            bool changed = false;
            std::size_t bytes = 0;
            std::size_t count = 0;
            for (const account_batch &batch : batches) {
                if (bytes > maxWriteBytes || count > maxWriteBatches)
                    break;
                if (!applyBatch(next, batch))
                    continue;
                changed = true;
                ++count;
                bytes += batch.refusals.size() * approxRefusalBytes;
            }
            if (!changed || m_chain.replace(std::move(next))) {
                m_stale = false;
                return m_chain.head().applied;
            }
            backOffAfterConflict(attempt);
        }
    } catch (const json_error &error) {
        throw platform_error(std::string("cannot decode account page: ") + error.what());
    }
    throw platform_error("account page not written: too many compare-and-swap conflicts");
}

account_page account_store::readAll()
{
    page_chain<account_page> chain(m_store, m_prefix);
    std::vector<refusal_record> refusals;
    chain.refresh([&](const account_page &page) {
        refusals.insert(refusals.end(), page.refusals.begin(), page.refusals.end());
    });
    account_page all = chain.head();
    refusals.insert(refusals.end(), all.refusals.begin(), all.refusals.end());
    all.refusals = std::move(refusals);
    return all;
}

} // namespace goldcrestdeck
