#ifndef GOLDCRESTDECK_TEXT_ESCAPE_H_
#define GOLDCRESTDECK_TEXT_ESCAPE_H_

/// \file
/// Makes text of arbitrary bytes, such as the request ids that clients choose, fit for JSON and
/// back.
///
/// Pass such text through escapeText() before it goes into a record or a log line, and through
/// unescapeText() after it is read. UTF-8 text stays as it is unless it contains the two characters
/// \x, and what is escaped stays searchable: an id with one odd byte differs in that byte only.

#include <string>

namespace goldcrestdeck {

/// \returns UTF-8 text in which each byte that is not part of valid UTF-8, each NUL, and each
/// backslash before an x is written as \xNN, with two hexadecimal digits.
std::string escapeText(const std::string &text);

/// The inverse of escapeText(). A \x without two digits stays as it is.
std::string unescapeText(const std::string &text);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TEXT_ESCAPE_H_
