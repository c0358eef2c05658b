#ifndef GOLDCRESTDECK_TESTING_ROUTER_HARNESS_H_
#define GOLDCRESTDECK_TESTING_ROUTER_HARNESS_H_

/// \file
/// A forwarder before stand-in instances on loopback, in one process, and a client that sees bytes.

#include <future>
#include <memory>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "goldcrestdeck/forwarder.h"
#include "standins/platform_runner.h"

namespace goldcrestdeck {

/// A blocking connection whose reads give up after a few seconds.
class byte_client
{
public:
    explicit byte_client(const boost::asio::ip::tcp::endpoint &server);

    void send(const std::string &bytes);
    /// The next whole answer. \throws boost::system::system_error if there is none, or a cut one.
    http1_response read();
    /// Whether the server closes without a further byte.
    bool readsEnd();
    void close();

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_buffer;
};

/// A request as a client of the platform sends it. \a fields are whole lines.
std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        const std::string &fields = "", const std::string &body = "");

/// Routes: /safe/ and /once/ to the service "plain", /stream/ to "engine" with the models small and
/// large, resumable; /closed/ is like /stream/ but not resumable. Keys: key-1 of workspace w1.
class router_fixture : public ::testing::Test
{
protected:
    router_fixture();
    ~router_fixture() override;

    /// Runs \a work on the event loop's thread and waits for it.
    template<typename Work>
    auto onLoop(Work work) -> decltype(work())
    {
        std::packaged_task<decltype(work())()> task(std::move(work));
        auto result = task.get_future();
        boost::asio::post(m_io, [&task] { task(); });
        return result.get();
    }

    standins::platform_runner &addRunner(const std::string &service, const std::string &id,
                                         const std::string &version = "v1");
    /// Tells the forwarder what is configured and which instances there are.
    void publish();
    void setBehaviour(const standins::runner_behaviour &behaviour);
    /// One request on a connection of its own.
    http1_response ask(const std::string &text);
    int runsOf(const std::string &requestId);
    std::size_t requestsSeen();
    /// Polls until \a holds on the loop's thread, for a few seconds at most.
    bool eventually(const std::function<bool()> &holds);

    routing_parts m_config;
    std::map<std::string, service_rollout> m_rollouts;
    bool m_confirms = true; ///< The configuration can be confirmed.
    int m_confirmCalls = 0;
    std::function<void()> m_onConfirm;

    boost::asio::io_context m_io{1};
    system_clock m_clock;
    router_metrics m_counters;
    async_client m_client;
    traffic_state m_state;
    std::unique_ptr<forwarder> m_forwarder;
    std::unique_ptr<async_server> m_server;
    std::vector<std::unique_ptr<standins::platform_runner>> m_runners;
    std::map<std::string, std::vector<instance>> m_instances;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TESTING_ROUTER_HARNESS_H_
