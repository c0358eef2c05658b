#include "goldcrestdeck/feed_link.h"

#include <utility>

#include "goldcrestdeck/errors.h"

namespace goldcrestdeck {

namespace {

/// Exceeds the number of hosts of a failure domain.
constexpr std::size_t maxPendingRequests = 1000;
/// A client that lacks more than this polls the service itself: a host with a 10 Mbit/s link could
/// not send a large configuration to twenty others within a second.
constexpr std::size_t maxReplyBytes = 64 * 1024;
/// Exceeds the length of any host's name; bounds what a faulty host can make this one hold.
constexpr std::size_t maxHostNameBytes = 256;

std::size_t sizeOf(const kv_changes &changes)
{
    std::size_t size = 0;
    for (const kv_change &change : changes.changes)
        size += change.item.key.size() + change.item.value.size();
    return size;
}

} // namespace

struct feed_link::copy_download {
    std::string address;
    std::string self;
    std::chrono::milliseconds timeout{0};
    std::function<void(std::optional<received_copy>)> done;
    time_point sentAt; ///< The request for the first part.
    std::uint32_t nextNumber = 0;
    received_copy received;
    copy_assembly assembly;
};

feed_link::feed_link(boost::asio::io_context &io, const clock &time, const std::string &address,
                     const feed_cache &cache, store_epoch &epoch,
                     std::function<void()> requestListener, std::shared_ptr<client_memory> memory)
    : m_time(time)
    , m_feedCache(cache)
    , m_epoch(epoch)
    , m_requestListener(std::move(requestListener))
    , m_peers(
          io, address,
          [this](const peer_body &request, const peer_link::reply_sender &reply) {
              onRequest(request, reply);
          },
          std::move(memory))
{ }

void feed_link::requestChanges(const std::string &address, std::uint64_t after,
                               std::chrono::milliseconds timeout,
                               std::function<void(const feed_reply &)> done)
{
    const time_point sentAt = m_time.now();
    m_peers.request(address, feed_request_message{after, m_epoch.current()}, timeout,
                    [sentAt, done = std::move(done)](const std::optional<peer_body> &reply) {
                        const auto *message
                            = reply ? std::get_if<feed_update_message>(&*reply) : nullptr;
                        feed_reply result;
                        result.epoch = message == nullptr ? 0 : message->epoch;
                        if (message == nullptr || !message->valid) {
                            result.outcome = message == nullptr ? feed_outcome::timed_out
                                                                : feed_outcome::unavailable;
                            done(result);
                            return;
                        }
                        result.outcome = feed_outcome::available;
                        result.changes.outcome = kv_outcome::done;
                        result.changes.changes = message->changes;
                        result.changes.revision = message->revision;
                        result.confirmedAt = sentAt + message->confirmationDelay;
                        done(result);
                    });
}

void feed_link::requestCopy(const std::string &address, const std::string &self,
                            std::chrono::milliseconds timeout,
                            std::function<void(std::optional<received_copy>)> done)
{
    const auto download = std::make_shared<copy_download>();
    download->address = address;
    download->self = self;
    download->timeout = timeout;
    download->done = std::move(done);
    download->sentAt = m_time.now();
    requestPart(download);
}

void feed_link::requestPart(const std::shared_ptr<copy_download> &download)
{
    m_peers.request(download->address,
                    copy_request_message{download->self, download->nextNumber, m_epoch.current()},
                    download->timeout, [this, download](const std::optional<peer_body> &reply) {
                        onPart(download, reply);
                    });
}

void feed_link::onPart(const std::shared_ptr<copy_download> &download,
                       const std::optional<peer_body> &reply)
{
    const auto *message = reply ? std::get_if<copy_part_message>(&*reply) : nullptr;
    entry_copy &copy = download->received.copy;
    const bool isFirst = download->nextNumber == 0;
    const bool isSameCopy = message != nullptr && message->valid
        && (isFirst || (message->revision == copy.revision && message->epoch == copy.epoch));
    if (!isSameCopy || !download->assembly.add(message->part)) {
        download->done(std::nullopt);
        return;
    }
    if (isFirst) {
        copy.revision = message->revision;
        copy.epoch = message->epoch;
        download->received.confirmedAt = download->sentAt + message->confirmationDelay;
    }
    ++download->nextNumber;
    if (!download->assembly.isComplete()) {
        requestPart(download);
        return;
    }
    copy.items = download->assembly.items();
    download->done(std::move(download->received));
}

void feed_link::replyConfirmed(time_point confirmedAt)
{
    const auto pending = std::exchange(m_pending, {});
    for (const pending_request &request : pending)
        request.reply(replyTo(request, confirmedAt));
    const auto copies = std::exchange(m_pendingCopies, {});
    for (const pending_copy &request : copies)
        request.reply(firstPartTo(request, confirmedAt));
}

void feed_link::replyServiceUnreachable()
{
    const auto pending = std::exchange(m_pending, {});
    for (const pending_request &request : pending)
        request.reply(unavailable());
    const auto copies = std::exchange(m_pendingCopies, {});
    for (const pending_copy &request : copies)
        request.reply(copy_part_message());
}

void feed_link::startDraining()
{
    m_draining = true;
    replyServiceUnreachable();
}

bool feed_link::hasRecentRequests(duration period) const
{
    return m_lastRequestAt && m_time.now() - *m_lastRequestAt < period;
}

void feed_link::onRequest(const peer_body &request, const peer_link::reply_sender &reply)
{
    if (const auto *copyRequest = std::get_if<copy_request_message>(&request)) {
        onCopyRequest(*copyRequest, reply);
        return;
    }
    const auto *feedRequest = std::get_if<feed_request_message>(&request);
    if (feedRequest == nullptr)
        throw peer_error("unexpected peer message: not a request for changes");
    const bool isSameEpoch
        = m_epoch.observe(feedRequest->epoch) && feedRequest->epoch == m_epoch.current();
    if (!isSameEpoch || m_draining || m_pending.size() >= maxPendingRequests) {
        reply(unavailable());
        return;
    }
    m_lastRequestAt = m_time.now();
    m_pending.push_back({feedRequest->after, feedRequest->epoch, *m_lastRequestAt, reply});
    m_requestListener();
}

void feed_link::onCopyRequest(const copy_request_message &request,
                              const peer_link::reply_sender &reply)
{
    const bool isKnownEpoch = m_epoch.observe(request.epoch);
    if (request.part > 0) {
        reply(isKnownEpoch ? copyPart(request.host, request.part) : copy_part_message());
        return;
    }
    const time_point now = m_time.now();
    if (m_draining || request.host.size() > maxHostNameBytes
        || m_pendingCopies.size() >= maxPendingRequests || !m_copies.mayBegin(request.host, now)) {
        reply(copy_part_message());
        return;
    }
    m_pendingCopies.push_back({request.host, now, reply});
    m_requestListener();
}

copy_part_message feed_link::firstPartTo(const pending_copy &request, time_point confirmedAt)
{
    const time_point now = m_time.now();
    auto items = m_feedCache.completeItems();
    if (!items || !m_copies.mayBegin(request.host, now))
        return {};
    m_copies.begin(request.host, {std::move(*items), m_feedCache.revision(), m_epoch.current()},
                   now);
    copy_part_message message = copyPart(request.host, 0);
    message.confirmationDelay = confirmedAt - request.receivedAt;
    return message;
}

copy_part_message feed_link::copyPart(const std::string &host, std::uint32_t number)
{
    copy_part_message message;
    message.epoch = m_epoch.current();
    auto served = m_copies.take(host, number, m_epoch.current(), m_time.now());
    if (!served)
        return message;
    message.valid = true;
    message.revision = served->revision;
    message.part = std::move(served->part);
    if (message.part.isLast && m_copyListener)
        m_copyListener(host, served->revision, served->items);
    return message;
}

feed_update_message feed_link::unavailable() const
{
    feed_update_message message;
    message.epoch = m_epoch.current();
    return message;
}

feed_update_message feed_link::replyTo(const pending_request &request, time_point confirmedAt) const
{
    feed_update_message message = unavailable();
    const auto changes = m_feedCache.changesSince(request.after);
    if (!changes || request.epoch != m_epoch.current() || sizeOf(*changes) > maxReplyBytes)
        return message;
    message.valid = true;
    message.confirmationDelay = confirmedAt - request.receivedAt;
    message.revision = changes->revision;
    message.changes = changes->changes;
    return message;
}

} // namespace goldcrestdeck
