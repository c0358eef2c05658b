// One binary with a subcommand for each stand-in.

#include <csignal>
#include <iostream>
#include <map>
#include <thread>

#include <boost/program_options.hpp>

#include "standins/standin.h"

namespace standins {

namespace options = boost::program_options;

server_response jsonResponse(int status, const json_value &document)
{
    server_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = document.dump();
    return response;
}

void sleepMs(std::uint64_t milliseconds)
{
    if (milliseconds > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

namespace {

class aborting_source : public goldcrestdeck::body_source
{
public:
    ssize_t read(char *, std::size_t) override { return aborted; }
};

using factory = std::unique_ptr<standin> (*)(const standin_options &);

const std::map<std::string, factory> &factories()
{
    static const std::map<std::string, factory> known = {{"kv", makeKeyValue},
                                                         {"engine", makeEngine},
                                                         {"service", makeService},
                                                         {"rating", makeRating},
                                                         {"hostlist", makeHostList}};
    return known;
}

server_response handle(standin &server, const server_request &request)
{
    if (request.path() == "/fault") {
        server.activeFaults().set(json_value::parse(request.body()));
        return {};
    }
    return server.handle(request);
}

int run(int argc, char **argv)
{
    options::options_description description("standins KIND --port PORT [options]");
    description.add_options()("kind", options::value<std::string>(),
                              "kv|engine|service|rating|hostlist")(
        "address", options::value<std::string>()->default_value("127.0.0.1"))(
        "port", options::value<std::uint16_t>())(
        "token-ms", options::value<std::uint64_t>()->default_value(1), "time for each token")(
        "quality", options::value<double>()->default_value(0.9), "mean rating of the responses")(
        "hosts", options::value<std::string>()->default_value(""), "JSON file of the host list");
    options::positional_options_description positions;
    positions.add("kind", 1);
    options::variables_map values;
    options::store(
        options::command_line_parser(argc, argv).options(description).positional(positions).run(),
        values);
    const auto selected = values.count("kind") > 0
        ? factories().find(values["kind"].as<std::string>())
        : factories().end();
    if (selected == factories().end() || values.count("port") == 0) {
        std::cerr << description;
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const standin_options standinOptions{
        values["address"].as<std::string>(), values["port"].as<std::uint16_t>(),
        values["token-ms"].as<std::uint64_t>(), values["quality"].as<double>(),
        values["hosts"].as<std::string>()};
    const std::unique_ptr<standin> server = selected->second(standinOptions);
    goldcrestdeck::server_options serverOptions;
    serverOptions.address = standinOptions.address;
    serverOptions.port = standinOptions.port;
    serverOptions.maxBodyBytes = 4 * 1024 * 1024;
    const goldcrestdeck::http_server listener(
        serverOptions, [&](const server_request &request) { return handle(*server, request); });
    int signal = 0;
    sigwait(&signals, &signal);
    // Skips destructors: open streams end with the process instead of being waited for.
    std::_Exit(0);
}

} // namespace

server_response abortedResponse()
{
    server_response response;
    response.stream = std::make_unique<aborting_source>();
    return response;
}

faults fault_state::current() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

bool fault_state::consumeLostResponse()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_faults.loseReplies == 0)
        return false;
    --m_faults.loseReplies;
    return true;
}

void fault_state::set(const json_value &document)
{
    faults next;
    next.slowMs = document.integer("slow_ms", 0);
    next.hangMs = document.integer("hang_ms", 0);
    next.loseReplies = document.integer("lose_replies", 0);
    next.cutAfter = document.integer("cut_after", 0);
    next.down = document.boolean("down", false);
    next.fail = document.boolean("fail", false);
    next.failStatus = document.integer("fail_status", next.failStatus);
    next.turnAway = document.boolean("turn_away", false);
    next.leaving = document.boolean("leaving", false);
    next.silentEnd = document.boolean("silent_end", false);
    next.quality = document.has("quality") ? document.number("quality") : -1;
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = next;
}

} // namespace standins

int main(int argc, char **argv)
{
    return standins::run(argc, argv);
}
