// Background ratings run on a dedicated thread pool, because the rating service may be slow and
// must delay neither request threads nor the control thread.

#include "goldcrestdeck/rater.h"

#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t ratingThreads = 4;
constexpr std::size_t maxQueuedRatings = 1000;
constexpr std::chrono::milliseconds ratingTimeout{2000};
constexpr int httpOk = 200;

} // namespace

rater::rater(handler_dependencies &dependencies)
    : m_dependencies(dependencies)
    , m_threads(ratingThreads)
    , m_random(std::random_device()())
{ }

rater::~rater()
{
    m_threads.join();
}

double rater::drawUniform()
{
    const std::lock_guard<std::mutex> lock(m_randomMutex);
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

bool rater::shouldRate(plan_reason reason)
{
    return reason == plan_reason::canary
        || drawUniform() < m_dependencies.configuration.ratingShare;
}

std::optional<double> rater::rate(const rating_subject &subject, const std::string &responseText)
{
    json_value ratingRequest = json_value::object();
    ratingRequest.set("version", subject.version);
    ratingRequest.set("class", subject.workClass);
    ratingRequest.set("answer", responseText);
    http_request request;
    request.method = "POST";
    request.url = m_dependencies.configuration.ratingUrl + "/v1/rate";
    request.body = ratingRequest.dump();
    request.timeout = ratingTimeout;
    try {
        const http_response response = m_dependencies.client->send(request);
        if (response.status != httpOk)
            return std::nullopt;
        const double rating = json_value::parse(response.body).number("rating");
        if (!(rating >= 0 && rating <= 1))
            return std::nullopt;
        m_dependencies.host.recordRating(subject, rating);
        return rating;
    } catch (const http_error &) {
        return std::nullopt;
    } catch (const json_error &) {
        return std::nullopt;
    }
}

void rater::rateAsync(const rating_subject &subject, const std::string &responseText)
{
    if (m_queueLength.load() >= maxQueuedRatings) {
        m_dependencies.counters.droppedRatings.Increment();
        return;
    }
    ++m_queueLength;
    boost::asio::post(m_threads, [this, subject, responseText] {
        rate(subject, responseText);
        --m_queueLength;
    });
}

} // namespace goldcrestdeck
