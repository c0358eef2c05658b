// One job a request. Every call to an instance carries the number of its send, so that a report of
// an earlier send, which may already be on its way, is told from one of the current send.

#include "goldcrestdeck/forwarder.h"

#include <algorithm>
#include <cmath>

#include <boost/asio/ip/address.hpp>

#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/errors.h"
#include "goldcrestdeck/json.h"
#include "goldcrestdeck/log.h"
#include "goldcrestdeck/model_cascade.h"
#include "goldcrestdeck/numbered_events.h"
#include "goldcrestdeck/one_shot_timer.h"

namespace goldcrestdeck {

namespace http = boost::beast::http;

namespace {

/// How long a request waits for the first configuration after a start; reading it takes some tens
/// of milliseconds while the key-value service answers.
constexpr std::chrono::milliseconds startWait{500};
/// For a client to come back when this host does not know the configuration yet.
constexpr std::chrono::milliseconds unreadyRetryAfter{1000};
/// For a client to come back, to another host, when this one is stopping.
constexpr std::chrono::milliseconds stoppingRetryAfter{50};
/// For a client to come back when no instance could take its request; spread by half either way.
constexpr std::chrono::milliseconds busyRetryAfter{600};
/// Instances asked in turn while all of them turn a request away.
constexpr unsigned maxRefusals = 4;
/// Instances tried in turn while none can be reached; it costs nobody but the client its time.
constexpr unsigned maxUnreachable = 16;
/// Bytes that may wait for a slow client before its upstream is no longer read.
constexpr std::size_t maxUnsentBytes = 256 * 1024;
/// Whole answers above this are not kept in memory.
constexpr std::size_t maxAnswerBytes = 16 * 1024 * 1024;
/// Share of an upstream's idle time within which a kept connection is used for work that may run
/// only once, and for other work.
constexpr double onceIdleShare = 0.25;
constexpr double idleShare = 0.75;
/// A request that may be repeated is sent elsewhere after this many times its target latency.
constexpr int patienceFactor = 2;
/// A stream that may be continued is taken from a silent instance once its first event is this many
/// times later than expected, and later than its target; or, in its middle, once an event is this
/// many target gaps late. Under load the expected time grows, so that streams keep their place.
constexpr int silenceFactor = 6;
constexpr double gapFactor = 1.5;
constexpr std::chrono::milliseconds minGapPatience{1200};
/// The least urgent rank that an instance knows.
constexpr unsigned leastUrgentRank = 9;

std::string milliseconds(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

send_result resultOf(call_failure failure)
{
    switch (failure) {
    case call_failure::notSent:
        return send_result::unreachable;
    case call_failure::malformed:
        return send_result::failed;
    case call_failure::broken:
    case call_failure::timeout:
        break;
    }
    return send_result::broken;
}

http1_response makeRefusal(http::status status, const std::string &code, run_state run,
                           std::optional<std::chrono::milliseconds> retryAfter)
{
    http1_response response(status, 11);
    json_value body = json_value::object();
    body.set("code", code);
    body.set("run", toString(run));
    response.set(http::field::content_type, "application/json");
    if (retryAfter) {
        const std::string milli = std::to_string(1000 + retryAfter->count() % 1000).substr(1);
        response.set(http::field::retry_after,
                     std::to_string(retryAfter->count() / 1000) + '.' + milli);
    }
    response.body() = body.dump();
    return response;
}

} // namespace

class forwarder::job : public std::enable_shared_from_this<forwarder::job>
{
public:
    job(forwarder_parts &parts, const std::optional<drain_times> &drain, client_request request,
        std::shared_ptr<http_answer> answer, std::shared_ptr<std::set<std::shared_ptr<job>>> jobs)
        : m_parts(parts)
        , m_drain(drain)
        , m_state(parts.state)
        , m_request(std::move(request))
        , m_answer(std::move(answer))
        , m_jobs(std::move(jobs))
        , m_timer(parts.io.get_executor())
        , m_started(parts.time.now())
    { }

    void start()
    {
        m_jobs->insert(shared_from_this());
        m_answer->watch([self = shared_from_this()] { self->onClientGone(); },
                        [self = shared_from_this()] { self->m_call.resume(); });
        resolve(false);
    }

    void noteView()
    {
        if (!m_awaitsConfig || m_finished || !m_state.view()->config)
            return;
        m_awaitsConfig = false;
        m_timer.cancel();
        resolve(false);
    }

private:
    enum class answer_mode { none, whole, events };

    time_point now() const { return m_parts.time.now(); }

    void resolve(bool confirmed)
    {
        m_config = m_state.view() ? m_state.view()->config : nullptr;
        if (!m_config) {
            awaitConfig();
            return;
        }
        const routing_config &config = *m_config;
        m_route = config.match(m_request.host, m_request.path);
        if (m_route != nullptr && config.asksForKeys() && !m_route->isPublic)
            m_workspace = config.workspaceOf(m_request.key);
        const bool keyMissing = m_route != nullptr && config.asksForKeys() && !m_route->isPublic
            && m_workspace == nullptr;
        if (m_route != nullptr && !keyMissing) {
            accept();
            return;
        }
        if (confirmed || m_state.isFresh(now())) {
            if (keyMissing)
                refuse(http::status::unauthorized, "unknown_key", std::nullopt);
            else
                refuse(http::status::not_found, "no_route", std::nullopt);
            return;
        }
        m_parts.confirm([self = shared_from_this()](bool answered) {
            if (self->m_finished)
                return;
            if (answered)
                self->resolve(true);
            else
                self->refuse(http::status::service_unavailable, "configuration_unconfirmed",
                             unreadyRetryAfter);
        });
    }

    void awaitConfig()
    {
        m_awaitsConfig = true;
        m_timer.set(startWait, [self = shared_from_this()] {
            if (!self->m_finished && self->m_awaitsConfig)
                self->refuse(http::status::service_unavailable, "no_configuration",
                             unreadyRetryAfter);
        });
    }

    void accept()
    {
        const auto timeout = m_request.patience ? std::min(*m_request.patience, m_route->timeout)
                                                : m_route->timeout;
        m_deadline = m_started + timeout;
        if (m_drain && !acceptsWhileDraining(*m_drain, timeout, now())) {
            refuse(http::status::service_unavailable, "stopping", stoppingRetryAfter);
            return;
        }
        m_service = chooseService(*m_route, m_state.draw());
        m_state.noteRequest(m_service, now());
        if (!m_request.choosesModel && m_route->models.empty()) {
            refuse(http::status::bad_request, "no_model", std::nullopt);
            return;
        }
        setTimer();
        send();
    }

    bool isRepeatable() const
    {
        return m_route->kind == request_kind::repeatable
            || (m_route->kind == request_kind::stream && m_route->resumable);
    }

    std::string model() const
    {
        return m_request.choosesModel ? std::string() : m_route->models[m_model];
    }

    /// One timer for the deadline and, while another try is allowed, for the current send.
    void setTimer()
    {
        time_point until = m_deadline;
        m_tryUntil = m_deadline;
        if (m_sending && isRepeatable() && m_runs < m_route->maxAttempts)
            m_tryUntil = std::min(m_deadline, m_heardAt + patience());
        until = std::min(until, m_tryUntil);
        m_timer.set(std::max<duration>(until - now(), duration(0)), [self = shared_from_this()] {
            if (!self->m_finished)
                self->onTimer();
        });
    }

    /// How long the current send may be silent before the request is sent elsewhere.
    duration patience() const
    {
        if (m_route->kind == request_kind::repeatable)
            return patienceFactor * m_route->targetLatency;
        if (m_streaming)
            return std::max<duration>(
                std::chrono::duration_cast<duration>(gapFactor * m_route->targetGap),
                minGapPatience);
        return std::max<duration>(
            m_route->targetLatency,
            silenceFactor * m_state.expectedLatency(m_service, model(), m_chosen.missingTokens));
    }

    void onTimer()
    {
        const time_point time = now();
        if (time >= m_deadline) {
            giveUp();
            return;
        }
        const bool canMove = m_sending && isRepeatable() && m_runs < m_route->maxAttempts
            && !(m_streaming && !m_numbered);
        if (canMove && time < m_heardAt + patience()) {
            setTimer();
            return;
        }
        if (canMove && m_state.mayRepeat(m_service, repeat_reason::failure, time)) {
            m_call.cancel();
            m_mayHaveRun = true;
            endSend(send_result::broken, "slow");
            m_reason = "silent";
            send();
            return;
        }
        m_tryUntil = m_deadline;
        m_timer.set(m_deadline - time, [self = shared_from_this()] {
            if (!self->m_finished)
                self->giveUp();
        });
    }

    placement_request placementRequest() const
    {
        placement_request wanted;
        wanted.service = m_service;
        wanted.hasSession = !m_request.session.empty();
        wanted.sessionKey = wanted.hasSession ? m_request.session : m_request.id;
        wanted.model = m_request.choosesModel ? std::string() : m_route->models[m_model];
        wanted.prompt = &m_request.prompt;
        wanted.promptTokens = static_cast<double>(m_request.promptTokens);
        wanted.tried = m_tried;
        wanted.avoidCandidate = m_failedOnCandidate;
        return wanted;
    }

    /// Sends the request to the instance that suits it best; the first time or once more.
    void send()
    {
        const time_point time = now();
        const placement_request wanted = placementRequest();
        const auto chosen = m_state.choose(wanted, time);
        if (!chosen) {
            finishUnserved("no_instance");
            return;
        }
        const boost::asio::ip::tcp::endpoint endpoint = parseEndpoint(chosen->target.address);
        m_chosen = *chosen;
        m_tried.insert(chosen->target.incarnation());
        m_countsAsRepeat = m_arrivals > 0;
        if (m_countsAsRepeat) {
            m_state.noteRepeat(m_service, time);
            m_parts.counters.repeats(m_reason).Increment();
        }
        ++m_arrivals;
        ++m_sends;
        ++m_runs;
        m_state.noteSent(wanted, m_chosen, time);
        m_sentAt = time;
        m_heardAt = time;
        m_sending = true;
        m_begun = false;
        m_mode = answer_mode::none;
        m_body.clear();
        m_splitter.forgetPartial();
        setTimer();
        call(endpoint);
    }

    void call(const boost::asio::ip::tcp::endpoint &endpoint)
    {
        send_order order;
        order.instanceId = m_chosen.target.id;
        order.timeLeft
            = std::max(std::chrono::milliseconds(1),
                       std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now()));
        order.model = model();
        if (m_workspace != nullptr)
            order.workspace = m_workspace->name;
        order.priority
            = std::min(leastUrgentRank,
                       m_workspace != nullptr && m_workspace->priority ? *m_workspace->priority
                                                                       : m_route->priority);
        if (m_lastEvent)
            order.lastEventId = std::to_string(*m_lastEvent);
        const unsigned number = m_sends;
        const auto self = shared_from_this();
        answer_observer observer;
        observer.onHead = [self, number](const http1_response_head &head) {
            if (self->isCurrent(number))
                self->onHead(head);
        };
        observer.onBody = [self, number](std::string piece) {
            if (self->isCurrent(number))
                self->onBody(std::move(piece));
        };
        observer.onEnd = [self, number] {
            if (self->isCurrent(number))
                self->onEnd();
        };
        observer.onFailure = [self, number](call_failure failure) {
            if (self->isCurrent(number))
                self->onFailure(failure);
        };
        call_options options;
        options.maxIdleShare = isRepeatable() ? idleShare : onceIdleShare;
        options.isOwnAnswer
            = [wire = m_parts.wire, id = m_request.id](const http1_response_head &head) {
                  const std::string answered = wire.decodeAnswer(head).requestId;
                  return answered.empty() || answered == id;
              };
        m_call = m_parts.client.call(endpoint, m_chosen.target.incarnation(),
                                     m_parts.wire.encodeRequest(m_request, order),
                                     std::move(observer), std::move(options));
    }

    bool isCurrent(unsigned number) const { return !m_finished && m_sending && number == m_sends; }

    void onHead(const http1_response_head &head)
    {
        m_head = head;
        m_facts = m_parts.wire.decodeAnswer(head);
        m_mode = answer_mode::whole;
        if (m_facts.notRun)
            return;
        noteBegun();
        if (m_route->kind != request_kind::stream || head.result_int() / 100 != 2)
            return;
        if (!m_facts.sealed)
            return;
        m_mode = answer_mode::events;
        if (m_streaming)
            return;
        if (const auto next = largerModel()) {
            m_call.cancel();
            endSend(send_result::answered, "unsure");
            m_reason = "upgrade";
            m_model = *next;
            m_tried.clear();
            send();
        }
    }

    void noteBegun()
    {
        m_begun = true;
        const duration latency = now() - m_sentAt;
        m_state.noteBegun(m_chosen, latency);
        m_slow = m_state.noteLatency(m_route->name, model(), m_chosen.side, latency);
        m_parts.counters.firstByteSeconds(toString(m_route->kind))
            .Observe(std::chrono::duration<double>(latency).count());
    }

    std::optional<std::size_t> largerModel()
    {
        if (m_request.choosesModel)
            return std::nullopt;
        cascade_state state;
        state.model = m_model;
        state.models = m_route->models.size();
        state.confidence = m_facts.confidence;
        state.promptTokens = static_cast<double>(m_request.promptTokens);
        state.outputTokens
            = static_cast<double>(m_request.outputHint.value_or(m_request.maxOutputTokens));
        state.elapsed = now() - m_started;
        if (!m_route->models.empty()) {
            const std::string &largest = m_route->models.back();
            state.largerLatency = m_state.expectedLatency(m_service, largest, state.promptTokens);
            state.slowness = m_state.slowness(m_service, largest);
        }
        state.targetLatency = m_route->targetLatency;
        state.sendsLeft = m_route->maxAttempts - std::min(m_route->maxAttempts, m_runs);
        state.mayRepeat
            = isRepeatable() && m_state.mayRepeat(m_service, repeat_reason::upgrade, now());
        return nextModel(state, cascade_parameters());
    }

    void onBody(std::string piece)
    {
        if (m_mode != answer_mode::events) {
            m_body += piece;
            if (m_body.size() > maxAnswerBytes) {
                m_call.cancel();
                onFailure(call_failure::malformed);
            }
            return;
        }
        for (const numbered_event &event : m_splitter.feed(piece)) {
            if (m_lastEvent && event.id && *event.id <= *m_lastEvent) {
                // It is not the continuation that was asked for.
                m_call.cancel();
                onFailure(call_failure::malformed);
                return;
            }
            beginStream();
            m_answer->write(event.text);
            m_heardAt = now();
            if (event.id)
                m_lastEvent = event.id;
            else
                m_numbered = false;
        }
        if (m_splitter.isOverlong()) {
            m_call.cancel();
            onFailure(call_failure::malformed);
            return;
        }
        if (m_answer->unsentBytes() > maxUnsentBytes)
            m_call.pause();
    }

    void beginStream()
    {
        if (m_streaming)
            return;
        m_streaming = true;
        http1_response_head head = m_head;
        removeConnectionFields(head);
        m_answer->begin(head);
    }

    void onEnd()
    {
        if (m_facts.notRun) {
            endSend(send_result::refused, "refused");
            --m_runs;
            ++m_refusals;
            sendElsewhere("refused");
            return;
        }
        if (m_mode == answer_mode::events) {
            beginStream();
            m_answer->write(m_splitter.partial());
            endSend(send_result::answered, "answered");
            m_answer->end();
            finish(m_head.result_int(), "served");
            return;
        }
        const bool success = m_head.result_int() / 100 == 2;
        if (success && !m_facts.sealed) {
            onFailure(call_failure::malformed);
            return;
        }
        const bool failure = m_head.result_int() >= 500;
        endSend(failure ? send_result::failed : send_result::answered,
                failure ? "failed" : "answered");
        if (m_streaming) {
            // The continuation of a stream was answered by something else.
            abortStream("resume_failed");
            return;
        }
        if (failure && mayRunAgain()) {
            m_reason = "failed";
            m_fallback = wholeAnswer();
            send();
            return;
        }
        deliver(wholeAnswer(), failure ? "upstream_failure" : "served");
    }

    http1_response wholeAnswer() const
    {
        http1_response response;
        response.base() = m_head;
        removeConnectionFields(response);
        response.body() = m_body;
        return response;
    }

    bool mayRunAgain()
    {
        return isRepeatable() && m_runs < m_route->maxAttempts && now() < m_deadline
            && m_state.mayRepeat(m_service, repeat_reason::failure, now());
    }

    void onFailure(call_failure failure)
    {
        const bool unsent = failure == call_failure::notSent;
        endSend(resultOf(failure), toString(failure));
        if (unsent) {
            --m_runs;
            --m_arrivals;
            ++m_unreachable;
            if (m_countsAsRepeat)
                m_state.takeBackRepeat(m_service, m_sentAt);
            sendElsewhere("unreachable");
            return;
        }
        m_mayHaveRun = true;
        if (m_streaming && (!m_numbered || !m_lastEvent)) {
            abortStream("stream_broken");
            return;
        }
        if (mayRunAgain()) {
            m_reason = m_streaming ? "resume" : "broken";
            send();
            return;
        }
        finishUnserved(toString(failure));
    }

    /// The instance has not run the request.
    void sendElsewhere(const char *reason)
    {
        m_reason = reason;
        const bool isWithinBudget
            = m_arrivals == 0 || m_state.mayRepeat(m_service, repeat_reason::failure, now());
        if (m_refusals < maxRefusals && m_unreachable < maxUnreachable && now() < m_deadline
            && isWithinBudget) {
            send();
            return;
        }
        finishUnserved("all_busy");
    }

    /// Ends a request that no further send can serve.
    void finishUnserved(const std::string &code)
    {
        if (m_streaming) {
            abortStream(code);
        } else if (m_fallback) {
            deliver(*m_fallback, "upstream_failure");
        } else if (m_mayHaveRun) {
            refuse(http::status::bad_gateway, code, std::nullopt);
        } else {
            const double spread = 0.5 + m_state.draw();
            refuse(http::status::service_unavailable, code,
                   std::chrono::milliseconds(
                       std::lround(spread * static_cast<double>(busyRetryAfter.count()))));
        }
    }

    void giveUp()
    {
        if (m_sending) {
            m_mayHaveRun = true;
            m_call.cancel();
            endSend(send_result::abandoned, "deadline");
        }
        if (m_streaming)
            abortStream("deadline");
        else if (m_mayHaveRun)
            refuse(http::status::gateway_timeout, "deadline", std::nullopt);
        else
            finishUnserved("deadline");
    }

    void endSend(send_result result, const char *outcome)
    {
        m_sending = false;
        const unsigned outlived = m_state.noteEnd(m_chosen, m_begun, result, now());
        m_parts.counters.sends(outcome).Increment();
        const bool failed = result == send_result::failed;
        if ((failed || result == send_result::broken) && m_chosen.side == version_side::candidate)
            m_failedOnCandidate = true;
        if (m_chosen.inRollout && (failed || result == send_result::answered)) {
            m_parts.reportAnswer({m_service, m_route->name, m_chosen.side, failed, m_slow});
            for (unsigned i = 0; i < outlived; ++i)
                m_parts.reportAnswer({m_service, m_route->name, m_chosen.side, true, false});
        }
        m_slow = false;
        if (result != send_result::answered)
            logEvent(log_level::info, "send_ended",
                     {{"request", m_request.id},
                      {"instance", m_chosen.target.incarnation()},
                      {"version", m_chosen.target.version},
                      {"outcome", outcome},
                      {"ms", milliseconds(now() - m_sentAt)}});
    }

    void onClientGone()
    {
        if (m_finished)
            return;
        if (m_sending) {
            m_call.cancel();
            endSend(send_result::abandoned, "client_gone");
        }
        m_parts.counters.clientsGone.Increment();
        finish(0, "client_gone");
    }

    void abortStream(const std::string &code)
    {
        m_answer->abort();
        finish(0, code);
    }

    void deliver(http1_response response, const char *outcome)
    {
        const unsigned status = response.result_int();
        const auto answer = m_answer;
        finish(status, outcome);
        answer->send(std::move(response));
    }

    void refuse(http::status status, const std::string &code,
                std::optional<std::chrono::milliseconds> retryAfter)
    {
        const run_state run = m_mayHaveRun ? run_state::unknown : run_state::no;
        const auto answer = m_answer;
        finish(static_cast<unsigned>(status), code);
        answer->send(makeRefusal(status, code, run, retryAfter));
    }

    void finish(unsigned status, const std::string &outcome)
    {
        m_finished = true;
        m_timer.cancel();
        const duration time = now() - m_started;
        const std::string kind = m_route != nullptr ? toString(m_route->kind) : "none";
        m_parts.counters.answers(kind, status, outcome).Increment();
        m_parts.counters.answerSeconds(kind).Observe(std::chrono::duration<double>(time).count());
        logEvent(log_level::info, "request_done",
                 {{"request", m_request.id},
                  {"session", m_request.session},
                  {"route", m_route != nullptr ? m_route->name : ""},
                  {"workspace", m_workspace != nullptr ? m_workspace->name : ""},
                  {"status", std::to_string(status)},
                  {"outcome", outcome},
                  {"instance", m_sends > 0 ? m_chosen.target.incarnation() : ""},
                  {"version", m_sends > 0 ? m_chosen.target.version : ""},
                  {"model", m_route != nullptr && !m_route->models.empty() ? model() : ""},
                  {"confidence", m_facts.confidence ? std::to_string(*m_facts.confidence) : ""},
                  {"sends", std::to_string(m_sends)},
                  {"config", m_config ? std::to_string(m_config->version()) : ""},
                  {"view_age_ms", milliseconds(now() - m_state.confirmedAt())},
                  {"ms", milliseconds(time)}});
        m_jobs->erase(shared_from_this());
    }

    forwarder_parts &m_parts;
    const std::optional<drain_times> &m_drain;
    traffic_state &m_state;
    client_request m_request;
    std::shared_ptr<http_answer> m_answer;
    std::shared_ptr<std::set<std::shared_ptr<job>>> m_jobs;
    one_shot_timer m_timer;
    time_point m_started;
    time_point m_deadline;
    time_point m_tryUntil;
    time_point m_sentAt;
    time_point m_heardAt; ///< Of the current send: when it began, or its last event.
    std::shared_ptr<const routing_config> m_config; ///< Keeps the route and the workspace alive.
    const route *m_route = nullptr;
    const workspace_spec *m_workspace = nullptr;
    std::string m_service;
    std::size_t m_model = 0;
    chosen_instance m_chosen;
    async_client::call_handle m_call;
    std::set<std::string> m_tried;
    std::string m_reason; ///< Of the next send, if it is not the first.
    unsigned m_sends = 0;
    unsigned m_runs = 0;     ///< Sends that may have run.
    unsigned m_arrivals = 0; ///< Sends that have reached an instance or still may.
    unsigned m_refusals = 0;
    unsigned m_unreachable = 0;
    bool m_countsAsRepeat = false; ///< The current send is in the budget for repeats.
    bool m_finished = false;
    bool m_awaitsConfig = false;
    bool m_sending = false;
    bool m_begun = false;
    bool m_slow = false;
    bool m_mayHaveRun = false;
    bool m_failedOnCandidate = false;
    bool m_streaming = false; ///< The client has got the head of its stream.
    bool m_numbered = true;   ///< Every event so far had an id.
    answer_mode m_mode = answer_mode::none;
    http1_response_head m_head;
    answer_facts m_facts;
    std::string m_body;
    numbered_event_splitter m_splitter;
    std::optional<std::uint64_t> m_lastEvent;
    std::optional<http1_response> m_fallback; ///< An upstream's failure, if nothing better comes.
};

forwarder::forwarder(forwarder_parts parts)
    : m_parts(std::move(parts))
    , m_jobs(std::make_shared<std::set<std::shared_ptr<job>>>())
{ }

forwarder::~forwarder() = default;

void forwarder::handle(http1_request request, std::shared_ptr<http_answer> answer)
{
    try {
        client_request decoded = m_parts.wire.decodeRequest(std::move(request));
        const auto added = std::make_shared<job>(m_parts, m_drain, std::move(decoded),
                                                 std::move(answer), m_jobs);
        added->start();
    } catch (const request_error &error) {
        logEvent(log_level::info, "request_malformed", {{"error", error.what()}});
        m_parts.counters.answers("none", 400, "malformed").Increment();
        answer->send(makeRefusal(http::status::bad_request, "malformed_request", run_state::no,
                                 std::nullopt));
    }
}

void forwarder::noteView()
{
    const auto jobs = *m_jobs;
    for (const auto &waiting : jobs)
        waiting->noteView();
}

void forwarder::beginDrain(const drain_times &times)
{
    m_drain = times;
}

std::size_t forwarder::inProgress() const
{
    return m_jobs->size();
}

} // namespace goldcrestdeck
