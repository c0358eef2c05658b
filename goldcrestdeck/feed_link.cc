#include "goldcrestdeck/feed_link.h"

#include <utility>

#include "goldcrestdeck/errors.h"

namespace goldcrestdeck {

namespace {

/// Questions that may wait here; above the number of hosts of a failure domain.
constexpr std::size_t maxWaiting = 1000;
/// Bytes of one answer. An asker that lacks more reads it from the service: a host with a link of
/// 10 Mbit/s could not send a large configuration to twenty others within a second.
constexpr std::size_t maxAnswerBytes = 64 * 1024;

std::size_t sizeOf(const kv_changes &changes)
{
    std::size_t size = 0;
    for (const kv_change &change : changes.changes)
        size += change.item.key.size() + change.item.value.size();
    return size;
}

} // namespace

feed_link::feed_link(boost::asio::io_context &io, const clock &time, const std::string &address,
                     const feed_memory &memory)
    : m_time(time)
    , m_memory(memory)
    , m_peers(io, address, [this](const peer_body &request, const peer_link::replier &reply) {
        onRequest(request, reply);
    })
{ }

void feed_link::ask(const std::string &address, std::uint64_t after,
                    std::chrono::milliseconds patience, std::function<void(const feed_news &)> done)
{
    const time_point askedAt = m_time.now();
    m_peers.request(address, ask_feed_message{after}, patience,
                    [askedAt, done = std::move(done)](const std::optional<peer_body> &reply) {
                        const auto *news
                            = reply ? std::get_if<feed_news_message>(&*reply) : nullptr;
                        feed_news told;
                        if (news == nullptr || !news->usable) {
                            told.outcome
                                = news == nullptr ? feed_outcome::silent : feed_outcome::unusable;
                            done(told);
                            return;
                        }
                        told.outcome = feed_outcome::told;

                        told.changes.outcome = kv_outcome::done;
                        told.changes.changes = news->changes;
                        told.changes.revision = news->revision;
                        told.confirmedAt = askedAt + news->confirmedAfter;
                        done(told);
                    });
}

void feed_link::noteConfirmed(time_point confirmedAt)
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const question &asked : waiting)
        asked.reply(answerTo(asked, confirmedAt));
}

void feed_link::noteNoContact()
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const question &asked : waiting)
        asked.reply(feed_news_message());
}

void feed_link::leave()
{
    m_leaving = true;
    noteNoContact();
}

bool feed_link::isAsked(duration time) const
{
    return m_askedAt && m_time.now() - *m_askedAt < time;
}

void feed_link::onRequest(const peer_body &request, const peer_link::replier &reply)
{
    const auto *asked = std::get_if<ask_feed_message>(&request);
    if (asked == nullptr)
        throw peer_error("not a question for changes");
    if (m_leaving || m_waiting.size() >= maxWaiting) {
        reply(feed_news_message());
        return;
    }
    m_askedAt = m_time.now();
    m_waiting.push_back({asked->after, *m_askedAt, reply});
}

feed_news_message feed_link::answerTo(const question &asked, time_point confirmedAt) const
{
    feed_news_message news;
    const auto changes = m_memory.after(asked.after);
    if (!changes || sizeOf(*changes) > maxAnswerBytes)
        return news;
    news.usable = true;
    news.confirmedAfter = confirmedAt - asked.arrivedAt;
    news.revision = changes->revision;
    news.changes = changes->changes;
    return news;
}

} // namespace goldcrestdeck
