#include "goldcrestdeck/json.h"

#include <cstdlib>
#include <new>

namespace goldcrestdeck {

json_value::json_value(json_t *owned)
    : m_value(owned)
{
    if (owned == nullptr)
        throw json_error("value cannot be represented as JSON");
}

json_value::json_value(const std::string &text)
    : json_value(json_stringn(text.data(), text.size()))
{ }

json_value json_value::parse(const std::string &text)
{
    json_error_t error{};
    json_t *value = json_loadb(text.data(), text.size(), 0, &error);
    if (value == nullptr)
        throw json_error(std::string(error.text) + " at line " + std::to_string(error.line)
                         + ", column " + std::to_string(error.column));
    return json_value(value);
}

json_value json_value::get(const char *key) const
{
    json_t *member = json_object_get(m_value, key);
    if (member == nullptr)
        throw json_error(std::string("member '") + key + "' is missing");
    return json_value(json_incref(member));
}

std::string json_value::string(const char *key, const std::string &fallback) const
{
    return has(key) ? string(key) : fallback;
}

std::uint64_t json_value::integer(const char *key) const
{
    const json_value member = get(key);
    // The key-value service encodes revisions and counts as JSON strings.
    if (json_is_string(member.m_value))
        return std::strtoull(json_string_value(member.m_value), nullptr, 10);
    if (!json_is_integer(member.m_value) || json_integer_value(member.m_value) < 0)
        throw json_error(std::string("member '") + key + "' is not a non-negative integer");
    return static_cast<std::uint64_t>(json_integer_value(member.m_value));
}

std::uint64_t json_value::integer(const char *key, std::uint64_t fallback) const
{
    return has(key) ? integer(key) : fallback;
}

double json_value::number(const char *key) const
{
    const json_value member = get(key);
    if (!json_is_number(member.m_value))
        throw json_error(std::string("member '") + key + "' is not a number");
    return json_number_value(member.m_value);
}

bool json_value::boolean(const char *key, bool fallback) const
{
    return has(key) ? boolean(key) : fallback;
}

void json_value::set(const char *key, const std::string &text)
{
    set(key, json_value(text));
}

void json_value::set(const char *key, std::uint64_t number)
{
    set(key, json_value(json_integer(static_cast<json_int_t>(number))));
}

void json_value::set(const char *key, double number)
{
    set(key, json_value(json_real(number)));
}

void json_value::set(const char *key, bool flag)
{
    set(key, json_value(json_boolean(flag)));
}

void json_value::set(const char *key, const json_value &value)
{
    if (json_object_set(m_value, key, value.m_value) != 0)
        throw json_error(std::string("cannot set member '") + key + "'");
}

json_value json_value::at(std::size_t index) const
{
    json_t *element = json_array_get(m_value, index);
    if (element == nullptr)
        throw json_error("array index out of range");
    return json_value(json_incref(element));
}

void json_value::append(const json_value &value)
{
    if (json_array_append(m_value, value.m_value) != 0)
        throw json_error("cannot append array element");
}

std::vector<std::string> json_value::keys() const
{
    std::vector<std::string> result;
    const char *key = nullptr;
    json_t *value = nullptr;
    json_object_foreach(m_value, key, value) result.emplace_back(key);
    return result;
}

std::string json_value::asString() const
{
    if (!json_is_string(m_value))
        throw json_error("not a string");
    return {json_string_value(m_value), json_string_length(m_value)};
}

std::string json_value::dump() const
{
    char *text = json_dumps(m_value, JSON_COMPACT | JSON_ENCODE_ANY);
    if (text == nullptr)
        throw std::bad_alloc();
    std::string result(text);
    std::free(text);
    return result;
}

} // namespace goldcrestdeck
