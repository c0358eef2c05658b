#include "goldcrestdeck/digest.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <xxhash.h>

namespace goldcrestdeck {

namespace {

constexpr std::size_t sha256Bytes = 32;
using sha256_output = std::array<unsigned char, sha256Bytes>;

std::string toHex(const unsigned char *data, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += digits[data[i] >> 4];
        text += digits[data[i] & 0xf];
    }
    return text;
}

gnutls_datum_t datumOf(std::string_view data)
{
    gnutls_datum_t datum;
    datum.data = reinterpret_cast<unsigned char *>(const_cast<char *>(data.data()));
    datum.size = static_cast<unsigned>(data.size());
    return datum;
}

std::string toStringAndFree(const gnutls_datum_t &datum)
{
    std::string text(reinterpret_cast<const char *>(datum.data), datum.size);
    gnutls_free(datum.data);
    return text;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    sha256_output output{};
    gnutls_hash_fast(GNUTLS_DIG_SHA256, data.data(), data.size(), output.data());
    return toHex(output.data(), output.size());
}

std::string hmacHex(std::string_view key, std::string_view data)
{
    sha256_output output{};
    gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(), data.data(), data.size(),
                     output.data());
    return toHex(output.data(), output.size());
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && gnutls_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string base64Encode(std::string_view data)
{
    const gnutls_datum_t input = datumOf(data);
    gnutls_datum_t output{};
    if (gnutls_base64_encode2(&input, &output) < 0)
        throw std::bad_alloc();
    return toStringAndFree(output);
}

std::string base64Decode(const std::string &text)
{
    if (text.empty())
        return {};
    const gnutls_datum_t input = datumOf(text);
    gnutls_datum_t output{};
    if (gnutls_base64_decode2(&input, &output) < 0)
        throw std::invalid_argument("invalid base64");
    return toStringAndFree(output);
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    gnutls_rnd(GNUTLS_RND_NONCE, buffer.data(), buffer.size());
    return toHex(buffer.data(), buffer.size());
}

std::uint64_t stableHash(std::string_view data)
{
    return XXH64(data.data(), data.size(), 0);
}

std::vector<std::string> rendezvousTop(std::string_view subject,
                                       const std::vector<std::string> &candidates,
                                       std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    scored.reserve(candidates.size());
    for (const std::string &candidate : candidates)
        scored.emplace_back(stableHash(std::string(subject) + '\n' + candidate), candidate);
    std::sort(scored.begin(), scored.end());
    scored.resize(std::min(count, scored.size()));
    std::vector<std::string> top;
    top.reserve(scored.size());
    for (auto &[score, candidate] : scored)
        top.push_back(std::move(candidate));
    return top;
}

} // namespace goldcrestdeck
