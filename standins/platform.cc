// Stand-ins for the platform: key-value service (etcd v3 JSON API), rating service and host list.

#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/limits.h"
#include "standins/standin.h"

namespace standins {

namespace {

using goldcrestdeck::base64Decode;
using goldcrestdeck::base64Encode;

constexpr double readsPerSecond = 2000;
constexpr double writesPerSecond = 300;
constexpr double rateBurstSeconds = 1;
constexpr std::size_t maxValueBytes = 1'000'000;

class key_value_store : public standin
{
public:
    key_value_store()
    {
        m_reads.setRate(readsPerSecond, m_clock.now());
        m_writes.setRate(writesPerSecond, m_clock.now());
    }

    server_response handle(const server_request &request) override
    {
        if (request.path() == "/stats")
            return stats();
        const faults injected = activeFaults().current();
        if (injected.down)
            return abortedResponse();
        sleepMs(injected.slowMs);
        const json_value body = json_value::parse(request.body());
        const bool isWrite = request.path() == "/v3/kv/txn";
        server_response response = isWrite ? transact(body) : range(body);
        if (isWrite && activeFaults().consumeLostResponse())
            return abortedResponse();
        sleepMs(injected.hangMs);
        return response;
    }

private:
    struct stored_value {
        std::string value;
        std::uint64_t revision = 0;
    };

    server_response range(const json_value &body)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_readCount;
        if (!m_reads.take(m_clock.now()))
            return tooManyRequests();
        json_value document = json_value::object();
        document.set("header", header());
        const auto found = m_values.find(base64Decode(body.string("key")));
        if (found != m_values.end()) {
            json_value entry = json_value::object();
            entry.set("key", body.string("key"));
            entry.set("mod_revision", std::to_string(found->second.revision));
            if (!body.boolean("keys_only", false))
                entry.set("value", base64Encode(found->second.value));
            json_value entries = json_value::array();
            entries.append(entry);
            document.set("kvs", entries);
        }
        return jsonResponse(200, document);
    }

    server_response transact(const json_value &body)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_writeCount;
        if (!m_writes.take(m_clock.now()))
            return tooManyRequests();
        const json_value compare = body.get("compare").at(0);
        const json_value put = body.get("success").at(0).get("request_put");
        const std::string value = base64Decode(put.string("value"));
        if (value.size() > maxValueBytes)
            return jsonResponse(400, json_value::object());
        stored_value &entry = m_values[base64Decode(put.string("key"))];
        const bool matches = entry.revision == compare.integer("mod_revision");
        if (matches)
            entry = {value, ++m_revision};
        json_value document = json_value::object();
        document.set("succeeded", matches);
        document.set("header", header());
        return jsonResponse(200, document);
    }

    json_value header() const
    {
        json_value value = json_value::object();
        value.set("revision", std::to_string(m_revision));
        return value;
    }

    static server_response tooManyRequests()
    {
        server_response response;
        response.status = 429;
        return response;
    }

    server_response stats()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        json_value document = json_value::object();
        document.set("reads", m_readCount);
        document.set("writes", m_writeCount);
        return jsonResponse(200, document);
    }

    goldcrestdeck::system_clock m_clock;
    std::mutex m_mutex;
    std::map<std::string, stored_value> m_values;
    std::uint64_t m_revision = 0;
    std::uint64_t m_readCount = 0;
    std::uint64_t m_writeCount = 0;
    goldcrestdeck::token_bucket m_reads{rateBurstSeconds};
    goldcrestdeck::token_bucket m_writes{rateBurstSeconds};
};

/// Rates a response by the number after its last "q=", plus uniform noise.
class rating : public standin
{
public:
    server_response handle(const server_request &request) override
    {
        const faults injected = activeFaults().current();
        if (injected.down)
            return abortedResponse();
        sleepMs(injected.slowMs);
        const std::string response = json_value::parse(request.body()).string("answer");
        const std::size_t mark = response.rfind("q=");
        const double quality
            = mark == std::string::npos ? 0 : std::atof(response.c_str() + mark + 2);
        json_value document = json_value::object();
        document.set("rating", std::min(1.0, std::max(0.0, quality + noise())));
        return jsonResponse(200, document);
    }

private:
    double noise()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return std::uniform_real_distribution<double>(-0.05, 0.05)(m_random);
    }

    std::mutex m_mutex;
    std::mt19937 m_random{7};
};

/// Serves the host list from a file; POST /set {"address","state"} changes the state of one host.
class host_list : public standin
{
public:
    explicit host_list(const std::string &path)
    {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        m_hosts = json_value::parse(text.str());
    }

    server_response handle(const server_request &request) override
    {
        const faults injected = activeFaults().current();
        if (injected.down)
            return abortedResponse();
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (request.path() == "/set")
            updateState(json_value::parse(request.body()));
        return jsonResponse(200, m_hosts);
    }

private:
    void updateState(const json_value &update)
    {
        const json_value hosts = m_hosts.get("hosts");
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            json_value host = hosts.at(i);
            if (host.string("address") == update.string("address"))
                host.set("state", update.string("state"));
        }
    }

    std::mutex m_mutex;
    json_value m_hosts = json_value::object();
};

} // namespace

std::unique_ptr<standin> makeKeyValue(const standin_options &)
{
    return std::make_unique<key_value_store>();
}

std::unique_ptr<standin> makeRating(const standin_options &)
{
    return std::make_unique<rating>();
}

std::unique_ptr<standin> makeHostList(const standin_options &options)
{
    return std::make_unique<host_list>(options.hostsFile);
}

} // namespace standins
