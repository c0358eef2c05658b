// Jansson decides what is valid UTF-8, since it is what rejects the rest.

#include "goldcrestdeck/text_escape.h"

#include <algorithm>
#include <memory>

#include <boost/algorithm/hex.hpp>
#include <jansson.h>

namespace goldcrestdeck {

namespace {

constexpr unsigned char maxAscii = 0x7f;
constexpr std::size_t maxCharacterBytes = 4;
constexpr const char *escapePrefix = "\\x";
constexpr std::size_t prefixBytes = 2;
constexpr std::size_t digitCount = 2;

bool isUtf8(const char *text, std::size_t size)
{
    const std::unique_ptr<json_t, decltype(&json_decref)> value(json_stringn(text, size),
                                                                &json_decref);
    return value != nullptr;
}

/// \returns the size of the valid UTF-8 character at \a position, or 0 if there is none.
std::size_t characterSize(const std::string &text, std::size_t position)
{
    const std::size_t limit = std::min(maxCharacterBytes, text.size() - position);
    for (std::size_t size = 1; size <= limit; ++size) {
        if (isUtf8(text.data() + position, size))
            return size;
    }
    return 0;
}

} // namespace

std::string escapeText(const std::string &text)
{
    const bool isAscii = std::all_of(text.begin(), text.end(), [](char byte) {
        return byte != '\0' && static_cast<unsigned char>(byte) <= maxAscii;
    });
    if (isAscii && text.find(escapePrefix) == std::string::npos)
        return text;
    std::string escaped;
    for (std::size_t i = 0; i < text.size();) {
        const std::size_t size = characterSize(text, i);
        const bool isPrefix = text.compare(i, prefixBytes, escapePrefix) == 0;
        if (size == 0 || isPrefix || text[i] == '\0') {
            escaped += escapePrefix;
            boost::algorithm::hex_lower(text.substr(i, 1), std::back_inserter(escaped));
            ++i;
        } else {
            escaped.append(text, i, size);
            i += size;
        }
    }
    return escaped;
}

std::string unescapeText(const std::string &text)
{
    std::string bytes;
    std::size_t position = 0;
    for (std::size_t found = text.find(escapePrefix); found != std::string::npos;
         found = text.find(escapePrefix, position)) {
        bytes.append(text, position, found - position);
        position = found + prefixBytes;
        try {
            const std::string byte = boost::algorithm::unhex(text.substr(position, digitCount));
            if (byte.empty()) {
                bytes += escapePrefix;
                continue;
            }
            bytes += byte;
            position += digitCount;
        } catch (const boost::algorithm::hex_decode_error &) {
            bytes += escapePrefix;
        }
    }
    return bytes.append(text, position, std::string::npos);
}

} // namespace goldcrestdeck
