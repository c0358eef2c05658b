#ifndef GOLDCRESTDECK_JSON_H_
#define GOLDCRESTDECK_JSON_H_

/// \file
/// A C++ wrapper of jansson values that manages reference counts and throws json_error if a member
/// is missing or has the wrong type.

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include <jansson.h>

namespace goldcrestdeck {

class json_error : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

class json_value
{
public:
    /// \throws json_error with jansson's message. Jansson limits the nesting depth.
    static json_value parse(const std::string &text);
    static json_value object() { return json_value(json_object()); }
    static json_value array() { return json_value(json_array()); }

    explicit json_value(const std::string &text);
    json_value(const json_value &other)
        : m_value(json_incref(other.m_value))
    { }
    json_value(json_value &&other) noexcept
        : m_value(other.m_value)
    {
        other.m_value = nullptr;
    }
    json_value &operator=(json_value other) noexcept
    {
        std::swap(m_value, other.m_value);
        return *this;
    }
    ~json_value() { json_decref(m_value); }

    /// Access to the members of an object.
    bool has(const char *key) const { return json_object_get(m_value, key) != nullptr; }
    json_value get(const char *key) const;
    std::string string(const char *key) const { return get(key).asString(); }
    std::string string(const char *key, const std::string &fallback) const;
    std::uint64_t integer(const char *key) const;
    std::uint64_t integer(const char *key, std::uint64_t fallback) const;
    double number(const char *key) const;
    bool boolean(const char *key) const { return json_is_true(get(key).m_value); }
    bool boolean(const char *key, bool fallback) const;
    void set(const char *key, const std::string &text);
    void set(const char *key, const char *text) { set(key, std::string(text)); }
    void set(const char *key, std::uint64_t number);
    void set(const char *key, int number) { set(key, static_cast<std::uint64_t>(number)); }
    void set(const char *key, double number);
    void set(const char *key, bool flag);
    void set(const char *key, const json_value &value);

    /// Access to the elements of an array; any other value has size 0.
    std::size_t size() const { return json_array_size(m_value); }
    json_value at(std::size_t index) const;
    void append(const json_value &value);

    /// Names of the members of an object; any other value has none.
    std::vector<std::string> keys() const;
    bool isObject() const { return json_is_object(m_value); }
    std::string asString() const;
    std::string dump() const;

private:
    explicit json_value(json_t *owned);

    json_t *m_value;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_JSON_H_
