#include "goldcrestdeck/peer_link.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "goldcrestdeck/testing/process_cluster.h"

namespace goldcrestdeck {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A peer that collects \a batchSize requests and replies to them in reverse order.
class reversing_peer
{
public:
    reversing_peer(asio::io_context &context, int port, std::size_t batchSize)
        : m_acceptor(
            context,
            tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)))
        , m_socket(context)
        , m_batchSize(batchSize)
    {
        m_acceptor.async_accept(m_socket, [this](boost::system::error_code) { readNext(); });
    }

private:
    void readNext()
    {
        asio::async_read(m_socket, asio::buffer(&m_length, sizeof m_length),
                         [this](boost::system::error_code error, std::size_t) {
                             if (!error)
                                 readMessage();
                         });
    }

    void readMessage()
    {
        m_message.resize(m_length);
        asio::async_read(m_socket, asio::buffer(m_message),
                         [this](boost::system::error_code error, std::size_t) {
                             if (error)
                                 return;
                             m_requests.push_back(decodeMessage(m_message));
                             if (m_requests.size() == m_batchSize)
                                 replyInReverse();
                             readNext();
                         });
    }

    void replyInReverse()
    {
        std::reverse(m_requests.begin(), m_requests.end());
        for (const peer_message &request : m_requests) {
            config_value_message reply;
            reply.value = std::get<ping_message>(request.body).host;
            const std::string bytes = encodeMessage(request.id, reply);
            const auto length = static_cast<std::uint32_t>(bytes.size());
            asio::write(m_socket, asio::buffer(&length, sizeof length));
            asio::write(m_socket, asio::buffer(bytes));
        }
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::size_t m_batchSize;
    std::uint32_t m_length = 0;
    std::string m_message;
    std::vector<peer_message> m_requests;
};

class peer_link_fixture : public testing::Test
{
protected:
    static void rejectAll(const peer_body &, const peer_link::reply_sender &)
    {
        throw peer_error("not a request");
    }

    ping_message makePing(const std::string &host)
    {
        ping_message ping;
        ping.host = host;
        return ping;
    }

    std::vector<int> ports = freePorts(2);
    asio::io_context context;
    std::string peer = "127.0.0.1:" + std::to_string(ports[1]);
    peer_link link{context, "127.0.0.1:" + std::to_string(ports[0]), rejectAll};
};

TEST_F(peer_link_fixture, replies_out_of_order_are_matched_to_their_requests)
{
    constexpr std::size_t count = 20;
    const reversing_peer other(context, ports[1], count);
    std::size_t matched = 0;
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < count; ++i)
        link.request(peer, makePing(std::to_string(i)), std::chrono::seconds(30),
                     [&, i](const std::optional<peer_body> &reply) {
                         ASSERT_TRUE(reply.has_value());
                         const auto &value = std::get<config_value_message>(*reply);
                         matched += value.value == std::to_string(i) ? 1 : 0;
                         order.push_back(i);
                         if (order.size() == count)
                             context.stop();
                     });
    context.run();
    EXPECT_EQ(matched, count);
    EXPECT_EQ(order.front(), count - 1);
}

TEST_F(peer_link_fixture, reply_after_timeout_is_dropped_and_not_delivered_to_another_request)
{
    const reversing_peer other(context, ports[1], 2);
    std::vector<std::string> replies;
    link.request(peer, makePing("first"), std::chrono::milliseconds(50),
                 [&](const std::optional<peer_body> &reply) {
                     replies.push_back(reply ? "answered" : "timeout");
                     link.request(peer, makePing("second"), std::chrono::seconds(30),
                                  [&](const std::optional<peer_body> &later) {
                                      ASSERT_TRUE(later.has_value());
                                      replies.push_back(
                                          std::get<config_value_message>(*later).value);
                                      context.stop();
                                  });
                 });
    context.run();
    EXPECT_EQ(replies, (std::vector<std::string>{"timeout", "second"}));
}

TEST_F(peer_link_fixture, unreachable_peer_gives_no_reply)
{
    bool failed = false;
    link.request(peer, makePing("x"), std::chrono::seconds(30),
                 [&](const std::optional<peer_body> &reply) {
                     failed = !reply.has_value();
                     context.stop();
                 });
    context.run();
    EXPECT_TRUE(failed);
}

TEST_F(peer_link_fixture, oversized_or_malformed_frame_closes_connection)
{
    for (const std::string &bytes :
         {std::string("\xff\xff\xff\xff"), std::string("\x04\0\0\0abcd", 8)}) {
        tcp::socket socket(context);
        socket.connect(parseEndpoint("127.0.0.1:" + std::to_string(ports[0])));
        asio::write(socket, asio::buffer(bytes));
        char byte = 0;
        boost::system::error_code result;
        asio::async_read(socket, asio::buffer(&byte, 1),
                         [&](boost::system::error_code error, std::size_t) {
                             result = error;
                             context.stop();
                         });
        context.restart();
        context.run();
        EXPECT_TRUE(result);
    }
}

} // namespace
} // namespace goldcrestdeck
