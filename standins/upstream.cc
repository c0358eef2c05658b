// Stand-ins for the upstreams: a model engine and a plain service. Both log each request with its
// outcome; tests compare this log (GET /log) with the router's accounting.

#include <algorithm>
#include <sstream>
#include <vector>

#include "goldcrestdeck/errors.h"
#include "standins/standin.h"

namespace standins {

namespace {

using goldcrestdeck::body_source;

/// Requests with their outcomes, in order of completion.
class execution_log
{
public:
    void add(const std::string &id, const std::string &version, const std::string &key,
             const std::string &outcome)
    {
        json_value entry = json_value::object();
        entry.set("id", id);
        entry.set("version", version);
        entry.set("key", key);
        entry.set("outcome", outcome);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_entries.append(entry);
    }

    server_response response()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        json_value document = json_value::object();
        document.set("rows", m_entries);
        return jsonResponse(200, document);
    }

private:
    std::mutex m_mutex;
    json_value m_entries = json_value::array();
};

std::string chunkEvent(const std::string &content)
{
    json_value delta = json_value::object();
    delta.set("content", content);
    json_value choice = json_value::object();
    choice.set("index", 0);
    choice.set("delta", delta);
    json_value choices = json_value::array();
    choices.append(choice);
    json_value chunk = json_value::object();
    chunk.set("object", "chat.completion.chunk");
    chunk.set("choices", choices);
    return "data: " + chunk.dump() + "\n\n";
}

/// One streamed completion. Logs its outcome when it is destroyed: "whole", "cut" by a fault, or
/// "cancelled" by the client.
class token_source : public body_source
{
public:
    token_source(execution_log &log, std::string id, std::string version,
                 std::vector<std::string> tokens, std::uint64_t tokenMs, const faults &injected)
        : m_log(log)
        , m_id(std::move(id))
        , m_version(std::move(version))
        , m_tokens(std::move(tokens))
        , m_tokenMs(tokenMs)
        , m_injected(injected)
    { }
    ~token_source() override { m_log.add(m_id, m_version, "", m_outcome); }

    ssize_t read(char *out, std::size_t maxBytes) override
    {
        if (m_next > m_tokens.size())
            return end;
        if (m_injected.cutAfter > 0 && m_next >= m_injected.cutAfter) {
            m_outcome = "cut";
            return m_injected.silentEnd ? end : aborted;
        }
        sleepMs(m_tokenMs);
        const bool last = m_next == m_tokens.size();
        const std::string event = last ? "data: [DONE]\n\n" : chunkEvent(m_tokens[m_next]);
        ++m_next;
        if (last)
            m_outcome = "whole";
        const std::size_t count = std::min(maxBytes, event.size());
        std::copy_n(event.data(), count, out);
        return static_cast<ssize_t>(count);
    }

private:
    execution_log &m_log;
    std::string m_id;
    std::string m_version;
    std::vector<std::string> m_tokens;
    std::uint64_t m_tokenMs;
    faults m_injected;
    std::size_t m_next = 0;
    std::string m_outcome = "cancelled";
};

/// \returns whether an injected fault rejects the request, and sets \a response if so.
bool rejects(const faults &injected, server_response &response)
{
    if (injected.down) {
        response = abortedResponse();
        return true;
    }
    if (!injected.turnAway && !injected.leaving)
        return false;
    response.status = 503;
    response.headers.push_back(
        {goldcrestdeck::runField, toString(goldcrestdeck::execution_state::no)});
    if (injected.leaving)
        response.headers.push_back({"X-Leaving", "1"});
    return true;
}

int statusAfterRun(const faults &injected)
{
    return injected.fail ? static_cast<int>(injected.failStatus) : 200;
}

class engine : public standin
{
public:
    explicit engine(const standin_options &options)
        : m_options(options)
    { }

    server_response handle(const server_request &request) override
    {
        if (request.path() == "/log")
            return m_log.response();
        const faults injected = activeFaults().current();
        server_response response;
        if (rejects(injected, response))
            return response;
        sleepMs(injected.slowMs);
        const json_value body = json_value::parse(request.body());
        const std::string version = body.string("model");
        const std::string id = request.header("X-Request-Id");
        const double quality = injected.quality >= 0 ? injected.quality : m_options.quality;
        std::vector<std::string> tokens = echo(body, version, quality);
        if (body.boolean("stream", false)) {
            response.headers = {{"Content-Type", "text/event-stream"}};
            response.stream = std::make_unique<token_source>(m_log, id, version, std::move(tokens),
                                                             m_options.tokenMs, injected);
            return response;
        }
        m_log.add(id, version, "", injected.fail ? "failed" : "whole");
        sleepMs(injected.hangMs);
        if (injected.cutAfter > 0 || activeFaults().consumeLostResponse())
            return abortedResponse();
        return completion(version, tokens, statusAfterRun(injected));
    }

private:
    /// The words of the last message, followed by the version and the quality of the response.
    static std::vector<std::string> echo(const json_value &body, const std::string &version,
                                         double quality)
    {
        const json_value messages = body.get("messages");
        std::istringstream words(messages.at(messages.size() - 1).string("content"));
        std::vector<std::string> tokens;
        std::string word;
        while (words >> word)
            tokens.push_back(word + " ");
        std::ostringstream suffix;
        suffix << version << " q=" << quality;
        tokens.push_back(suffix.str());
        return tokens;
    }

    static server_response completion(const std::string &version,
                                      const std::vector<std::string> &tokens, int status)
    {
        std::string content;
        for (const std::string &token : tokens)
            content += token;
        json_value message = json_value::object();
        message.set("role", "assistant");
        message.set("content", content);
        json_value choice = json_value::object();
        choice.set("index", 0);
        choice.set("message", message);
        json_value choices = json_value::array();
        choices.append(choice);
        json_value document = json_value::object();
        document.set("object", "chat.completion");
        document.set("model", version);
        document.set("choices", choices);
        return jsonResponse(status, document);
    }

    standin_options m_options;
    execution_log m_log;
};

class service : public standin
{
public:
    server_response handle(const server_request &request) override
    {
        if (request.path() == "/log")
            return m_log.response();
        const faults injected = activeFaults().current();
        server_response response;
        if (rejects(injected, response))
            return response;
        sleepMs(injected.slowMs);
        const std::string key = request.header("Idempotency-Key");
        m_log.add(request.header("X-Request-Id"), request.path(), key, "whole");
        sleepMs(injected.hangMs);
        if (activeFaults().consumeLostResponse())
            return abortedResponse();
        json_value document = json_value::object();
        document.set("path", request.path());
        document.set("key", key);
        document.set("result", "done");
        return jsonResponse(statusAfterRun(injected), document);
    }

private:
    execution_log m_log;
};

} // namespace

std::unique_ptr<standin> makeEngine(const standin_options &options)
{
    return std::make_unique<engine>(options);
}

std::unique_ptr<standin> makeService(const standin_options &)
{
    return std::make_unique<service>();
}

} // namespace standins
