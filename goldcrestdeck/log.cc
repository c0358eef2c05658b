#include "goldcrestdeck/log.h"

#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <thread>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "goldcrestdeck/json.h"
#include "goldcrestdeck/text_escape.h"

namespace goldcrestdeck {

namespace {

constexpr const char *linePattern
    = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","host":"%n",%v})";
/// Lines buffered for the reader; when the queue is full, the oldest are dropped.
constexpr std::size_t queueCapacity = 2048;
constexpr std::chrono::seconds flushInterval{1};
/// For flushing the queue at shutdown; well below the time from SIGTERM to SIGKILL.
constexpr std::chrono::milliseconds flushTimeout{500};
/// Limit on lines of level info; a busy host serves some dozens of requests per second.
constexpr int maxLinesPerSecond = 500;

/// Limits the rate of lines of level info.
class line_limiter
{
public:
    /// \returns whether a line may be written. In the first call of a \a second, sets \a suppressed
    /// to the number of lines suppressed in the last second that had lines.
    bool admit(std::int64_t second, int &suppressed)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (second != m_second) {
            suppressed = m_suppressed;
            m_second = second;
            m_lines = 0;
            m_suppressed = 0;
        }
        if (++m_lines <= maxLinesPerSecond)
            return true;
        ++m_suppressed;
        return false;
    }

private:
    std::mutex m_mutex;
    std::int64_t m_second = 0;
    int m_lines = 0;
    int m_suppressed = 0;
};

line_limiter &limiter()
{
    static line_limiter instance;
    return instance;
}

std::atomic<bool> rateLimited{false};

spdlog::level::level_enum spdlogLevel(log_level level)
{
    switch (level) {
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        break;
    }
    return spdlog::level::err;
}

std::string quoted(const std::string &text)
{
    return json_value(escapeText(text)).dump();
}

} // namespace

void initLog(const std::string &host, log_level lowest)
{
    spdlog::drop(host);
    const auto logger = spdlog::stderr_logger_mt(host);
    logger->set_pattern(linePattern, spdlog::pattern_time_type::utc);
    logger->set_level(spdlogLevel(lowest));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

void initAsyncLog(const std::string &host, log_level lowest)
{
    spdlog::drop(host);
    spdlog::init_thread_pool(queueCapacity, 1);
    const auto logger = std::make_shared<spdlog::async_logger>(
        host, std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(),
        spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern(linePattern, spdlog::pattern_time_type::utc);
    logger->set_level(spdlogLevel(lowest));
    spdlog::set_default_logger(logger);
    spdlog::flush_every(flushInterval);
    rateLimited = true;
}

bool stopLog()
{
    const auto done = std::make_shared<std::promise<void>>();
    std::future<void> written = done->get_future();
    std::thread([done] {
        spdlog::shutdown();
        done->set_value();
    }).detach();
    return written.wait_for(flushTimeout) == std::future_status::ready;
}

void logEvent(log_level level, const std::string &event, const std::vector<log_field> &fields)
{
    if (rateLimited && level == log_level::info) {
        int suppressed = 0;
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        const bool admitted = limiter().admit(second.count(), suppressed);
        if (suppressed > 0)
            logEvent(log_level::warning, "lines_left_out", {{"count", std::to_string(suppressed)}});
        if (!admitted)
            return;
    }
    std::string line = "\"event\":" + quoted(event);
    for (const log_field &field : fields)
        line += ',' + quoted(field.name) + ':' + quoted(field.value);
    spdlog::default_logger_raw()->log(spdlogLevel(level), spdlog::string_view_t(line));
}

} // namespace goldcrestdeck
