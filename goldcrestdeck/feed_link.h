#ifndef GOLDCRESTDECK_FEED_LINK_H_
#define GOLDCRESTDECK_FEED_LINK_H_

/// \file
/// Serves the change feed of the key-value service to other hosts, and requests it from them.
///
/// The receiver of a request delays its reply until its next poll of the service has succeeded, so
/// the client learns of a change as soon as if it had polled the service itself at the receiver's
/// interval. The reply gives the time of that poll relative to the arrival of the request. Added to
/// the time at which the request was sent, this never yields a time later than that of the poll,
/// whatever the latency of either message. Hosts also learn of a new epoch of the service from each
/// other, and get changes only from hosts that know the same one. Runs on the control thread.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/entry_copy.h"
#include "goldcrestdeck/feed_cache.h"
#include "goldcrestdeck/peer_link.h"
#include "goldcrestdeck/store_epoch.h"

namespace goldcrestdeck {

enum class feed_outcome {
    available,   ///< The reply contains the changes.
    unavailable, ///< The host cannot supply the changes now, or there are too many.
    timed_out    ///< No reply within the time-out.
};

/// Another host's reply to a feed request.
struct feed_reply {
    feed_outcome outcome = feed_outcome::timed_out;
    kv_changes changes;
    time_point confirmedAt;  ///< The service was polled at this time or later.
    std::uint64_t epoch = 0; ///< The latest that the other host knows; 0 if there is no reply.
};

/// A copy of all entries that another host has sent.
struct received_copy {
    entry_copy copy;
    time_point confirmedAt; ///< The service was polled at this time or later.
};

class feed_link
{
public:
    /// Called with the name of the asking host when the last part of a copy is sent.
    using copy_listener
        = std::function<void(const std::string &host, std::uint64_t revision, std::size_t items)>;

    /// Listens on \a address; incoming connections are entered in \a memory. \a requestListener is
    /// called when another host waits for a reply. \throws peer_error
    feed_link(boost::asio::io_context &io, const clock &time, const std::string &address,
              const feed_cache &cache, store_epoch &epoch, std::function<void()> requestListener,
              std::shared_ptr<client_memory> memory
              = std::make_shared<client_memory>(clientLimitsFor(0, 0).peers));

    /// Requests the changes after revision \a after from the host at \a address. \a done is called
    /// with the reply, or with timed_out after \a timeout.
    void requestChanges(const std::string &address, std::uint64_t after,
                        std::chrono::milliseconds timeout,
                        std::function<void(const feed_reply &)> done);

    /// Requests a copy of all entries from the host at \a address in the name of \a self. \a done
    /// is called with the copy, or with nullopt once a part is declined or has not arrived within
    /// \a timeout. Does not observe the epoch of the copy.
    /// \throws peer_error if \a address is malformed.
    void requestCopy(const std::string &address, const std::string &self,
                     std::chrono::milliseconds timeout,
                     std::function<void(std::optional<received_copy>)> done);
    void setCopyListener(copy_listener listener) { m_copyListener = std::move(listener); }

    /// The cache reflects a call to the service that was sent at \a confirmedAt: replies to all
    /// pending requests.
    void replyConfirmed(time_point confirmedAt);
    /// The service does not respond: tells pending clients that no changes are available, so that
    /// they poll the service themselves.
    void replyServiceUnreachable();
    /// This host is stopping: replies to all requests, pending and future, that no changes are
    /// available.
    void startDraining();
    /// Whether other hosts have sent requests within the last \a period.
    bool hasRecentRequests(duration period) const;

private:
    struct pending_request {
        std::uint64_t after = 0;
        std::uint64_t epoch = 0;
        time_point receivedAt;
        peer_link::reply_sender reply;
    };

    /// A request for the first part of a copy.
    struct pending_copy {
        std::string host;
        time_point receivedAt;
        peer_link::reply_sender reply;
    };
    /// A copy that this host requests.
    struct copy_download;

    void onRequest(const peer_body &request, const peer_link::reply_sender &reply);
    void onCopyRequest(const copy_request_message &request, const peer_link::reply_sender &reply);
    copy_part_message firstPartTo(const pending_copy &request, time_point confirmedAt);
    /// The next part of the copy for \a host, or a message that declines it.
    copy_part_message copyPart(const std::string &host, std::uint32_t number);
    void requestPart(const std::shared_ptr<copy_download> &download);
    void onPart(const std::shared_ptr<copy_download> &download,
                const std::optional<peer_body> &reply);
    /// A reply that says only that no changes are available.
    feed_update_message unavailable() const;
    feed_update_message replyTo(const pending_request &request, time_point confirmedAt) const;

    const clock &m_time;
    const feed_cache &m_feedCache;
    store_epoch &m_epoch;
    std::function<void()> m_requestListener;
    std::vector<pending_request> m_pending;
    std::vector<pending_copy> m_pendingCopies;
    copy_sessions m_copies;
    copy_listener m_copyListener;
    std::optional<time_point> m_lastRequestAt;
    bool m_draining = false;
    peer_link m_peers;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_FEED_LINK_H_
