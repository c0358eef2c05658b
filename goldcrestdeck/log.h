#ifndef GOLDCRESTDECK_LOG_H_
#define GOLDCRESTDECK_LOG_H_

/// \file
/// Structured logs: one JSON object a line.
///
/// The entry host's daemon writes state changes to standard error, synchronously. The router writes
/// one line per decision to standard output, through a bounded queue: if the reader stalls, the
/// oldest lines are dropped and no thread blocks. Lines of level info above a rate limit are
/// suppressed and counted.

#include <string>
#include <vector>

namespace goldcrestdeck {

enum class log_level { info, warning, error };

struct log_field {
    std::string name;
    std::string value;
};

/// Writes to standard error. \a host appears in each line; levels below \a lowest are discarded.
void initLog(const std::string &host, log_level lowest);

/// Writes to standard output through a queue; call stopLog() before the process exits.
void initAsyncLog(const std::string &host, log_level lowest);
/// Flushes the queue, waiting at most half a second for the reader. \returns false on a time-out:
/// the writing thread is then still blocked, and the process must exit without destroying static
/// objects.
bool stopLog();

/// \a event is a stable name in snake case.
void logEvent(log_level level, const std::string &event, const std::vector<log_field> &fields = {});

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_LOG_H_
