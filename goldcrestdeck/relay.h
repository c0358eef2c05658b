#ifndef GOLDCRESTDECK_RELAY_H_
#define GOLDCRESTDECK_RELAY_H_

/// \file
/// Relays a streamed upstream response to the client as it arrives.
///
/// The final event is sent only after the billing record has been replicated to other hosts. If the
/// upstream response is truncated, the client's connection is aborted so that the response cannot
/// be mistaken for a complete one. Destroying the relay before the end of the stream cancels the
/// upstream request.

#include <functional>
#include <memory>
#include <string>

#include "goldcrestdeck/event_stream.h"
#include "goldcrestdeck/request_context.h"
#include "goldcrestdeck/sender.h"

namespace goldcrestdeck {

class relay : public body_source
{
public:
    /// \a onComplete is called when the response is complete, with a sample of its bytes for
    /// rating.
    relay(std::unique_ptr<request_context> context, sender &upstreamSender,
          upstream_response response, std::string version, std::uint64_t costMicros,
          std::function<void(const std::string &)> onComplete);
    ~relay() override;

    ssize_t read(char *out, std::size_t maxBytes) override;

private:
    /// Reads the next part of the response. \returns false if the response was truncated.
    bool readUpstream();
    void finishComplete();
    void finishTruncated();

    std::unique_ptr<request_context> m_context;
    sender &m_sender;
    upstream_response m_response;
    std::string m_version;
    std::uint64_t m_costMicros;
    std::function<void(const std::string &)> m_onComplete;
    event_splitter m_events;
    std::string m_pending; ///< Whole events that read() has not returned yet.
    std::string m_sample;
    bool m_finished = false;
    bool m_truncated = false;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_RELAY_H_
