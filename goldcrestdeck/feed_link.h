#ifndef GOLDCRESTDECK_FEED_LINK_H_
#define GOLDCRESTDECK_FEED_LINK_H_

/// \file
/// Tells other hosts what has changed in the key-value service, and asks them.
///
/// A question waits at the host that is asked until that host has heard of the service again, so
/// the asker learns of a change as soon as if it had asked the service itself at that host's pace.
/// An answer says when it was confirmed, counted from the question's arrival; added to the time at
/// which the question was sent, that is never later than the truth, however long either message
/// took. All on the control thread.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/feed_memory.h"
#include "goldcrestdeck/peer_link.h"

namespace goldcrestdeck {

enum class feed_outcome {
    told,
    unusable, ///< The host cannot tell now, or too much has changed.
    silent    ///< It does not answer.
};

/// What another host has said.
struct feed_news {
    feed_outcome outcome = feed_outcome::silent;
    kv_changes changes;
    time_point confirmedAt; ///< The service was asked at this time or later.
};

class feed_link
{
public:
    /// Listens on \a address. \throws peer_error
    feed_link(boost::asio::io_context &io, const clock &time, const std::string &address,
              const feed_memory &memory);

    /// Asks the host at \a address for changes behind \a after, and waits for \a patience at most.
    void ask(const std::string &address, std::uint64_t after, std::chrono::milliseconds patience,
             std::function<void(const feed_news &)> done);

    /// The memory is up to date with a call to the service sent at \a confirmedAt: answers all
    /// questions that wait.
    void noteConfirmed(time_point confirmedAt);
    /// The service does not answer: the askers help themselves.
    void noteNoContact();
    /// This host is stopping: from now on it answers that it cannot tell.
    void leave();
    /// Whether other hosts have asked within \a time.
    bool isAsked(duration time) const;

private:
    struct question {
        std::uint64_t after = 0;
        time_point arrivedAt;
        peer_link::replier reply;
    };

    void onRequest(const peer_body &request, const peer_link::replier &reply);
    feed_news_message answerTo(const question &asked, time_point confirmedAt) const;

    const clock &m_time;
    const feed_memory &m_memory;
    std::vector<question> m_waiting;
    std::optional<time_point> m_askedAt;
    bool m_leaving = false;
    peer_link m_peers;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_FEED_LINK_H_
