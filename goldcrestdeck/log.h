#ifndef GOLDCRESTDECK_LOG_H_
#define GOLDCRESTDECK_LOG_H_

/// \file
/// Structured logs: one JSON object a line.
///
/// The entry host's daemon writes changes of state to standard error, at once. The router writes
/// one line for each decision to standard output, through a bounded queue: a reader that stops
/// reading loses lines, oldest first, and blocks nothing. Above a rate, lines are left out and
/// counted.

#include <string>
#include <vector>

namespace goldcrestdeck {

enum class log_level { info, warning, error };

struct log_field {
    std::string name;
    std::string value;
};

/// Sets the host's name in each line and the lowest level that is written.
void initLog(const std::string &host, log_level lowest);

/// Sends the lines to standard output through a queue; call stopLog() before the process ends.
void initQueuedLog(const std::string &host, log_level lowest);
/// Writes out what is queued, as far as the reader takes it within half a second. \returns false if
/// it does not: the writing thread hangs, and the process has to end without its static objects.
bool stopLog();

/// \a event is a stable name in snake case.
void logEvent(log_level level, const std::string &event, const std::vector<log_field> &fields = {});

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_LOG_H_
