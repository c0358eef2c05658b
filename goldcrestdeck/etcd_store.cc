#include "goldcrestdeck/etcd_store.h"

#include <utility>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

constexpr int httpOk = 200;

class etcd_binding
{
public:
    etcd_binding(std::shared_ptr<http_client> client, std::string endpoint,
                 std::chrono::milliseconds timeout)
        : m_client(std::move(client))
        , m_endpoint(std::move(endpoint))
        , m_timeout(timeout)
    { }

    std::optional<kv_value> range(const std::string &key, bool keysOnly) const
    {
        json_value query = json_value::object();
        query.set("key", base64Encode(key));
        if (keysOnly)
            query.set("keys_only", true);
        const json_value reply = call("/v3/kv/range", query);
        if (!reply.has("kvs") || reply.get("kvs").size() == 0)
            return std::nullopt;
        const json_value found = reply.get("kvs").at(0);
        return kv_value{base64Decode(found.string("value", "")), found.integer("mod_revision")};
    }

    std::optional<revision_number> putIfRevision(const std::string &key, revision_number expected,
                                                 const std::string &value) const
    {
        const std::string encodedKey = base64Encode(key);
        json_value compare = json_value::object();
        compare.set("key", encodedKey);
        compare.set("target", "MOD");
        compare.set("result", "EQUAL");
        compare.set("mod_revision", std::to_string(expected));
        json_value put = json_value::object();
        put.set("key", encodedKey);
        put.set("value", base64Encode(value));
        json_value operation = json_value::object();
        operation.set("request_put", put);
        json_value transaction = json_value::object();
        transaction.set("compare", listOf(compare));
        transaction.set("success", listOf(operation));
        const json_value reply = call("/v3/kv/txn", transaction);
        if (!reply.boolean("succeeded", false))
            return std::nullopt;
        return reply.get("header").integer("revision");
    }

    /// Calls \a work and translates the exceptions of the layers below into platform_error.
    template<typename Work>
    static auto translateErrors(const Work &work)
    {
        try {
            return work();
        } catch (const http_error &error) {
            throw platform_error(std::string("key-value service: ") + error.what());
        } catch (const json_error &error) {
            throw platform_error(std::string("invalid response of the key-value service: ")
                                 + error.what());
        } catch (const std::invalid_argument &error) {
            throw platform_error(std::string("invalid response of the key-value service: ")
                                 + error.what());
        }
    }

private:
    static json_value listOf(const json_value &item)
    {
        json_value list = json_value::array();
        list.append(item);
        return list;
    }

    json_value call(const char *path, const json_value &body) const
    {
        http_request request;
        request.method = "POST";
        request.url = m_endpoint + path;
        request.headers = {{"Content-Type", "application/json"}};
        request.body = body.dump();
        request.timeout = m_timeout;
        const http_response response = m_client->send(request);
        if (response.status != httpOk)
            throw platform_error("key-value service returned HTTP status "
                                 + std::to_string(response.status));
        return json_value::parse(response.body);
    }

    std::shared_ptr<http_client> m_client;
    std::string m_endpoint;
    std::chrono::milliseconds m_timeout;
};

} // namespace

kv_store etcdStore(std::shared_ptr<http_client> client, const std::string &endpoint,
                   std::chrono::milliseconds timeout)
{
    const etcd_binding binding(std::move(client), endpoint, timeout);
    kv_store store;
    store.get = [binding](const std::string &key) {
        return etcd_binding::translateErrors([&] { return binding.range(key, false); });
    };
    store.revisionOf = [binding](const std::string &key) {
        return etcd_binding::translateErrors([&] {
            const std::optional<kv_value> found = binding.range(key, true);
            return found ? found->revision : revision_number(0);
        });
    };
    store.compareAndSwap
        = [binding](const std::string &key, revision_number expected, const std::string &value) {
              if (value.size() > maxValueBytes)
                  throw platform_error("value of " + key + " exceeds the service's size limit");
              return etcd_binding::translateErrors(
                  [&] { return binding.putIfRevision(key, expected, value); });
          };
    return store;
}

} // namespace goldcrestdeck
