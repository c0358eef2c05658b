#include "standins/platform_store.h"

#include <cstdlib>

#include "goldcrestdeck/json.h"
#include "platform/kv_binding.h"

namespace standins {

using goldcrestdeck::http1_request;
using goldcrestdeck::json_value;

namespace {

constexpr std::size_t rangePageSize = 50;

std::string urlDecode(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t questionMark = target.find('?');
    for (std::size_t begin = questionMark == std::string::npos ? target.size() : questionMark + 1;
         begin < target.size();) {
        const std::size_t end = std::min(target.find('&', begin), target.size());
        const std::string pair = target.substr(begin, end - begin);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
            query[pair.substr(0, equals)] = urlDecode(pair.substr(equals + 1));
        begin = end + 1;
    }
    return query;
}

std::string queryValue(const std::map<std::string, std::string> &query, const std::string &key)
{
    const auto found = query.find(key);
    return found == query.end() ? std::string() : found->second;
}

json_value encodeItem(const std::string &key, const std::string &value, std::uint64_t revision)
{
    json_value row = json_value::object();
    row.set("key", key);
    row.set("value", platform::encodeBase64(value));
    row.set("revision", revision);
    row.set("created", revision);
    row.set("lease", 0);
    return row;
}

} // namespace

platform_store::platform_store(boost::asio::io_context &io,
                               const boost::asio::ip::tcp::endpoint &address)
    : m_server(
        io, address,
        [this](const http1_request &request, const std::shared_ptr<raw_connection> &connection) {
            handle(request, connection);
        })
{ }

void platform_store::put(const std::string &key, const std::string &value)
{
    m_contents.items[key] = {value, ++m_contents.revision, 0};
    m_contents.changes.push_back({key, value, m_contents.revision, false});
}

void platform_store::takeCopy()
{
    m_copy = m_contents;
}

void platform_store::restoreCopy()
{
    m_contents = m_copy;
    ++m_era;
}

void platform_store::expireAllLeases()
{
    for (auto &entry : m_contents.leases)
        entry.second.expiresAt = {};
    expireLeases();
}

void platform_store::expireLeases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto i = m_contents.leases.begin(); i != m_contents.leases.end();) {
        if (i->second.expiresAt > now) {
            ++i;
            continue;
        }
        removeKeysOfLease(i->first);
        i = m_contents.leases.erase(i);
    }
}

void platform_store::removeKeysOfLease(std::uint64_t lease)
{
    std::vector<std::string> keys;
    for (const auto &entry : m_contents.items) {
        if (entry.second.lease == lease)
            keys.push_back(entry.first);
    }
    for (const std::string &key : keys)
        remove(key);
}

void platform_store::remove(const std::string &key)
{
    if (m_contents.items.erase(key) > 0)
        m_contents.changes.push_back({key, "", ++m_contents.revision, true});
}

std::string platform_store::value(const std::string &key) const
{
    const auto found = m_contents.items.find(key);
    return found == m_contents.items.end() ? std::string() : found->second.value;
}

void platform_store::handle(const http1_request &request,
                            const std::shared_ptr<raw_connection> &connection)
{
    ++m_requestCount;
    expireLeases();
    if (m_faults.silent)
        return;
    if (m_faults.reset) {
        connection->reset();
        return;
    }
    response result{503, "{}"};
    const std::string target(request.target());
    const auto query = parseQuery(target);
    if (!m_faults.busy) {
        if (target.rfind("/api/kv-range", 0) == 0)
            result = range(query);
        else if (target.rfind("/api/kv-watch", 0) == 0)
            result = watch(query);
        else if (target.rfind("/api/kv-txn", 0) == 0)
            result = transact(request.body());
        else if (target.rfind("/api/kv-lease", 0) == 0)
            result = grantLease(request.body());
        else if (target.rfind("/api/kv-keep/", 0) == 0)
            result = renewLease(target);
        else
            result = {404, "{}"};
    }
    if (m_faults.loseWrites && request.method() == boost::beast::http::verb::post)
        return;
    goldcrestdeck::http1_response message(boost::beast::http::int_to_status(result.status), 11);
    message.set("Store-Era", std::to_string(m_era));
    message.body() = result.body;
    message.prepare_payload();
    const std::string bytes = goldcrestdeck::serializeHead(message.base()) + result.body;
    connection->runAfter(m_faults.delay, [connection, bytes, rate = m_faults.bytesPerSecond] {
        if (rate == 0)
            connection->write(bytes);
        else
            connection->writePaced(bytes, rate);
    });
}

platform_store::response
platform_store::range(const std::map<std::string, std::string> &query) const
{
    const std::string prefix = queryValue(query, "prefix");
    const std::string after = queryValue(query, "after");
    json_value items = json_value::array();
    bool hasMore = false;
    for (const auto &entry : m_contents.items) {
        if (entry.first.compare(0, prefix.size(), prefix) != 0 || entry.first <= after)
            continue;
        hasMore = items.size() == rangePageSize;
        if (hasMore)
            break;
        items.append(encodeItem(entry.first, entry.second.value, entry.second.revision));
    }
    json_value document = json_value::object();
    document.set("items", items);
    document.set("has-more", hasMore);
    document.set("store-revision", m_contents.revision);
    return {200, document.dump()};
}

platform_store::response
platform_store::watch(const std::map<std::string, std::string> &query) const
{
    const std::string prefix = queryValue(query, "prefix");
    const std::uint64_t after = std::strtoull(queryValue(query, "after").c_str(), nullptr, 10);
    if (after < m_contents.compactedRevision || after > m_contents.revision)
        return {410, "{}"};
    json_value events = json_value::array();
    for (const change &recorded : m_contents.changes) {
        if (recorded.revision <= after || recorded.key.compare(0, prefix.size(), prefix) != 0)
            continue;
        if (!recorded.deleted) {
            events.append(encodeItem(recorded.key, recorded.value, recorded.revision));
            continue;
        }
        json_value row = json_value::object();
        row.set("key", recorded.key);
        row.set("revision", recorded.revision);
        row.set("deleted", true);
        events.append(row);
    }
    json_value document = json_value::object();
    document.set("events", events);
    document.set("store-revision", m_contents.revision);
    return {200, document.dump()};
}

platform_store::response platform_store::transact(const std::string &body)
{
    const json_value document = json_value::parse(body);
    const json_value conditions = document.get("expected");
    for (std::size_t i = 0; i < conditions.size(); ++i) {
        const auto found = m_contents.items.find(conditions.at(i).string("key"));
        const std::uint64_t current = found == m_contents.items.end() ? 0 : found->second.revision;
        if (current != conditions.at(i).integer("revision"))
            return {412, R"({"items":[]})"};
    }
    const json_value writes = document.get("set-keys");
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const std::uint64_t lease = writes.at(i).integer("lease");
        if (lease != 0 && m_contents.leases.count(lease) == 0)
            return {404, "{}"};
    }
    ++m_contents.revision;
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const std::string key = writes.at(i).string("key");
        const std::string value = platform::decodeBase64(writes.at(i).string("value"));
        m_contents.items[key] = {value, m_contents.revision, writes.at(i).integer("lease")};
        m_contents.changes.push_back({key, value, m_contents.revision, false});
    }
    json_value result = json_value::object();
    result.set("revision", m_contents.revision);
    return {200, result.dump()};
}

platform_store::response platform_store::grantLease(const std::string &body)
{
    const std::chrono::milliseconds lifetime(json_value::parse(body).integer("ttl-ms"));
    const std::uint64_t leaseId = ++m_contents.lastLease;
    m_contents.leases[leaseId] = {lifetime, std::chrono::steady_clock::now() + lifetime};
    json_value document = json_value::object();
    document.set("lease", leaseId);
    document.set("ttl-ms", static_cast<std::uint64_t>(lifetime.count()));
    return {200, document.dump()};
}

platform_store::response platform_store::renewLease(const std::string &target)
{
    const auto found = m_contents.leases.find(
        std::strtoull(target.c_str() + target.rfind('/') + 1, nullptr, 10));
    if (found == m_contents.leases.end())
        return {404, "{}"};
    found->second.expiresAt = std::chrono::steady_clock::now() + found->second.lifetime;
    return {200, "{}"};
}

} // namespace standins
