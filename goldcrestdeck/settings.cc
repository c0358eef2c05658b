#include "goldcrestdeck/settings.h"

#include <fstream>
#include <functional>

#include <boost/asio/ip/address.hpp>
#include <boost/program_options.hpp>

namespace goldcrestdeck {

namespace options = boost::program_options;

namespace {

constexpr std::size_t minSessionKeyLength = 32;
constexpr std::size_t sha256HexLength = 64;

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t comma = std::min(text.find(',', begin), text.size());
        if (comma > begin)
            items.push_back(text.substr(begin, comma - begin));
        begin = comma + 1;
    }
    return items;
}

/// Reads typed values from the parsed file; each error message names the file and the key.
class settings_reader
{
public:
    settings_reader(std::string path, const options::variables_map &values)
        : m_path(std::move(path))
        , m_values(values)
    { }

    std::string text(const std::string &key) const { return m_values[key].as<std::string>(); }

    std::string name(const std::string &key) const
    {
        const std::string value = text(key);
        const bool hasValidCharacters
            = value.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.")
            == std::string::npos;
        if (value.empty() || value.size() > 64 || !hasValidCharacters)
            fail(key, "1 to 64 lower-case letters, digits, '-' or '.'");
        return value;
    }

    std::string address(const std::string &key) const
    {
        checkAddress(key, text(key));
        return text(key);
    }

    std::vector<std::string> addresses(const std::string &key) const
    {
        std::vector<std::string> list = splitList(text(key));
        for (const std::string &item : list)
            checkAddress(key, item);
        return list;
    }

    std::string url(const std::string &key) const
    {
        const std::string value = text(key);
        if (value.rfind("http://", 0) != 0 && value.rfind("https://", 0) != 0)
            fail(key, "a URL that begins with http:// or https://");
        return value;
    }

    std::uint64_t number(const std::string &key, std::uint64_t lowest, std::uint64_t highest) const
    {
        const std::string value = text(key);
        const bool isNumber = !value.empty() && value.size() < 19
            && value.find_first_not_of("0123456789") == std::string::npos;
        const std::uint64_t number = isNumber ? std::stoull(value) : 0;
        if (!isNumber || number < lowest || number > highest)
            fail(key,
                 "a whole number from " + std::to_string(lowest) + " to "
                     + std::to_string(highest));
        return number;
    }

    double fraction(const std::string &key) const
    {
        const std::string value = text(key);
        std::size_t parsedLength = 0;
        double number = -1;
        try {
            number = std::stod(value, &parsedLength);
        } catch (const std::exception &) {
            parsedLength = 0;
        }
        if (parsedLength != value.size() || !(number >= 0 && number <= 1))
            fail(key, "a number from 0 to 1");
        return number;
    }

    std::vector<std::string> sessionKeys(const std::string &key) const
    {
        std::vector<std::string> keys = splitList(text(key));
        for (const std::string &item : keys)
            if (item.size() < minSessionKeyLength)
                fail(key, "keys of at least 32 characters, separated by commas", false);
        if (keys.empty())
            fail(key, "at least one key");
        return keys;
    }

    std::string sha256(const std::string &key) const
    {
        const std::string value = text(key);
        if (value.size() != sha256HexLength
            || value.find_first_not_of("0123456789abcdef") != std::string::npos)
            fail(key, "a SHA-256 as 64 lower-case hexadecimal digits");
        return value;
    }

private:
    void checkAddress(const std::string &key, const std::string &value) const
    {
        const std::size_t colon = value.rfind(':');
        boost::system::error_code error;
        boost::asio::ip::make_address_v4(value.substr(0, colon), error);
        const std::string port = colon == std::string::npos ? "" : value.substr(colon + 1);
        const bool isNumber = !port.empty() && port.size() < 6
            && port.find_first_not_of("0123456789") == std::string::npos;
        if (error || !isNumber || std::stoul(port) == 0 || std::stoul(port) > UINT16_MAX)
            fail(key, "an IPv4 address and port, such as 127.0.0.1:8080");
    }

    /// \a showValue is false for secrets.
    [[noreturn]] void fail(const std::string &key, const std::string &expected,
                           bool showValue = true) const
    {
        const std::string shown = showValue ? " is '" + text(key) + "'" : " is invalid";
        throw settings_error(m_path + ": " + key + shown + ", expected " + expected);
    }

    std::string m_path;
    const options::variables_map &m_values;
};

options::options_description describeKeys()
{
    const auto required = [] { return options::value<std::string>()->required(); };
    const auto optional = [](const char *defaultValue) {
        return options::value<std::string>()->default_value(defaultValue);
    };
    options::options_description keys;
    auto add = keys.add_options();
    add("host.name", required());
    add("host.failure_domain", required());
    add("host.http_address", required());
    add("host.peer_address", required());
    add("host.advertised_peer_address", optional(""));
    add("host.seeds", optional(""));
    add("platform.key_value_url", required());
    add("platform.host_list_url", required());
    add("platform.rating_url", required());
    add("platform.key_value_timeout_ms", optional("800"));
    add("sessions.keys", required());
    add("operators.token_sha256", required());
    add("limits.max_body_bytes", optional("1048576"));
    add("limits.max_requests_in_progress", optional("600"));
    add("limits.max_unwritten_records", optional("200000"));
    add("limits.max_held_records", optional("400000"));
    add("limits.request_deadline_ms", optional("60000"));
    add("policy.rating_share", optional("0.2"));
    add("stopping.balancer_lag_ms", optional("3000"));
    add("trace.file", optional(""));
    return keys;
}

settings readValues(const settings_reader &reader)
{
    using std::chrono::milliseconds;
    constexpr std::uint64_t millisecondsPerDay = 86'400'000;
    settings result;
    result.name = reader.name("host.name");
    result.failureDomain = reader.name("host.failure_domain");
    result.httpAddress = reader.address("host.http_address");
    result.peerAddress = reader.address("host.peer_address");
    result.advertisedPeerAddress = reader.text("host.advertised_peer_address").empty()
        ? result.peerAddress
        : reader.address("host.advertised_peer_address");
    result.seeds = reader.addresses("host.seeds");
    result.keyValueUrl = reader.url("platform.key_value_url");
    result.hostListUrl = reader.url("platform.host_list_url");
    result.ratingUrl = reader.url("platform.rating_url");
    result.keyValueTimeout = milliseconds(reader.number("platform.key_value_timeout_ms", 10, 5000));
    result.sessionKeys = reader.sessionKeys("sessions.keys");
    result.operatorTokenSha256 = reader.sha256("operators.token_sha256");
    result.maxBodyBytes = reader.number("limits.max_body_bytes", 1024, 64 * 1024 * 1024);
    result.maxRequestsInProgress = reader.number("limits.max_requests_in_progress", 1, 100'000);
    result.maxUnwrittenRecords = reader.number("limits.max_unwritten_records", 1, 10'000'000);
    result.maxHeldRecords = reader.number("limits.max_held_records", 1, 10'000'000);
    result.requestDeadline
        = milliseconds(reader.number("limits.request_deadline_ms", 10, millisecondsPerDay));
    result.ratingShare = reader.fraction("policy.rating_share");
    result.balancerLag = milliseconds(reader.number("stopping.balancer_lag_ms", 0, 600'000));
    result.traceFile = reader.text("trace.file");
    return result;
}

} // namespace

settings loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw settings_error(path + ": cannot be read");
    options::variables_map values;
    try {
        options::store(options::parse_config_file(file, describeKeys()), values);
        options::notify(values);
    } catch (const options::required_option &error) {
        throw settings_error(path + ": " + error.get_option_name() + " is missing");
    } catch (const options::error &error) {
        throw settings_error(path + ": " + error.what());
    }
    return readValues(settings_reader(path, values));
}

} // namespace goldcrestdeck
