#ifndef GOLDCRESTDECK_TESTING_ROUTER_HARNESS_H_
#define GOLDCRESTDECK_TESTING_ROUTER_HARNESS_H_

/// \file
/// An in-process forwarder with stand-in instances on loopback, and a client that sends raw bytes.

#include <future>
#include <memory>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "goldcrestdeck/forwarder.h"
#include "standins/platform_instance.h"

namespace goldcrestdeck {

/// A blocking client connection that sends raw bytes. Reads time out after 10 s.
class raw_http_client
{
public:
    explicit raw_http_client(const boost::asio::ip::tcp::endpoint &server);

    void send(const std::string &bytes);
    /// \returns the next complete response.
    /// \throws boost::system::system_error if the connection fails, times out or is closed before
    /// the response is complete, or if the response is malformed.
    http1_response read();
    /// Reads once. \returns whether the server closed or reset the connection without sending
    /// another byte.
    bool isClosedByServer();
    /// \returns all bytes until the connection ends, in order or with a reset.
    std::string readAll();
    /// Whether the connection has ended with a reset.
    bool wasReset() const { return m_wasReset; }
    void close();

private:
    /// Reads once, for a limited time.
    std::size_t readSome(const boost::asio::mutable_buffer &buffer,
                         boost::system::error_code &error);

    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_buffer;
    bool m_wasReset = false;
};

/// What a client has received of a streamed response by the end of its connection.
struct received_stream {
    std::string body;
    bool isComplete = false; ///< The framing says that nothing is missing.
    std::string malformed;   ///< What stands where a chunk should begin.
};

/// Reads until the connection ends; the request must ask for that with Connection: close.
received_stream receiveStream(raw_http_client &client);

/// The name of a test whose parameter is a case with a name, and the HTTP version of its client.
template<typename Case>
std::string nameWithVersion(const ::testing::TestParamInfo<std::tuple<Case, const char *>> &info)
{
    const bool isOld = std::get<1>(info.param) == std::string("HTTP/1.0");
    return std::get<0>(info.param).name + std::string(isOld ? "_http_1_0" : "");
}

/// An HTTP/1.1 request as a client of the platform sends it. \a fields holds further header lines,
/// each with its CRLF.
std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        const std::string &fields = "", const std::string &body = "");

/// A forwarder that serves /safe/ and /once/ from the service "plain", and /stream/ and /closed/
/// from the service "engine". Only /stream/ is resumable and lists the models small and large. The
/// only API key is key-1 of workspace w1.
class router_fixture : public ::testing::Test
{
protected:
    router_fixture();
    ~router_fixture() override;

    /// Runs \a work on the event loop's thread and waits for its result.
    template<typename Work>
    auto onLoop(Work work) -> decltype(work())
    {
        std::packaged_task<decltype(work())()> task(std::move(work));
        auto result = task.get_future();
        boost::asio::post(m_io, [&task] { task(); });
        return result.get();
    }

    /// Starts a stand-in instance; the forwarder sees it after the next publish().
    standins::platform_instance &addInstance(const std::string &service, const std::string &id,
                                             const std::string &version = "v1");
    /// Gives the configuration, the instances and the rollouts to the forwarder, as confirmed at
    /// the current time.
    void publish();
    /// Sets the faults of every stand-in instance.
    void setFaults(const standins::instance_faults &faults);
    /// Sends one request on a new connection and reads the response.
    http1_response sendRequest(const std::string &text);
    /// \returns how often the instances executed the request.
    int executionsOf(const std::string &requestId);
    /// \returns the number of requests that reached an instance.
    std::size_t requestsReceived();
    /// Polls \a condition on the event loop's thread until it holds, for about 5 s at most.
    /// \returns whether it held.
    bool eventually(const std::function<bool()> &condition);

    routing_parts m_config;
    std::map<std::string, service_rollout> m_rollouts;
    bool m_confirmSucceeds = true; ///< Whether confirming the configuration succeeds.
    bool m_confirmEnds = true;     ///< Whether it succeeds or fails at all.
    int m_confirmCalls = 0;
    std::vector<request_outcome> m_outcomes; ///< Reported; use on the event loop's thread only.
    std::vector<rate_limit_report> m_rateLimitReports; ///< Use on the event loop's thread only.
    std::vector<crash_report> m_crashReports;          ///< Use on the event loop's thread only.
    std::function<void()> m_onConfirm;                 ///< Called, if set, on each call to confirm.

    boost::asio::io_context m_io{1};
    system_clock m_clock;
    router_metrics m_metrics;
    std::shared_ptr<response_memory> m_memory
        = std::make_shared<response_memory>(response_memory_limits());
    async_client m_client;
    traffic_state m_state;
    std::unique_ptr<forwarder> m_forwarder;
    std::unique_ptr<async_server> m_server;
    std::vector<std::unique_ptr<standins::platform_instance>> m_standins;
    std::map<std::string, std::vector<instance>> m_instances;
    /// Ends the last call to confirm; use on the event loop's thread only.
    std::function<void(bool)> m_lastConfirm;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::thread m_thread;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TESTING_ROUTER_HARNESS_H_
