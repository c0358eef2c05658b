#ifndef GOLDCRESTDECK_PEER_MESSAGE_H_
#define GOLDCRESTDECK_PEER_MESSAGE_H_

/// \file
/// What hosts say to each other, as plain values; FlatBuffers on the wire (wire.fbs).

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "goldcrestdeck/accounts.h"
#include "goldcrestdeck/async_kv_store.h"
#include "goldcrestdeck/membership.h"
#include "goldcrestdeck/quality.h"
#include "goldcrestdeck/revision_guard.h"

namespace goldcrestdeck {

/// A rate of one workspace: wanted in a ping, leased in a pong.
struct workspace_rate {
    std::string workspace;
    double perSecond = 0;
    double held = 0; ///< In a ping: the rate under a lease that still runs.
};

struct ping_message {
    std::string host;
    std::string source; ///< Host and incarnation, as in the host's batches.
    std::string board;  ///< The receiver's rating board that ratingsAfter counts; empty if unknown.
    std::uint64_t ratingsAfter = 0; ///< Newest change of that board that is known here.
    std::vector<heartbeat> heartbeats;
    std::vector<leaving_mark> marks;
    std::vector<workspace_rate> demands;
};

struct pong_message {
    revision_report report;
    std::vector<heartbeat> heartbeats;
    std::vector<leaving_mark> marks;
    std::vector<rating_counter> counters;
    std::uint64_t ratingsUpTo = 0;
    std::string board;   ///< Which incarnation's change numbers ratingsUpTo counts.
    applied_set applied; ///< Of the asker's batches.
    std::vector<workspace_rate> grants;
};

struct fetch_config_message { };

struct config_value_message {
    revision_number revision = 0;
    std::string value;
};

struct hold_batch_message {
    std::string batch;
    std::chrono::milliseconds delay{}; ///< How long to wait before writing it to the account.
};

struct hold_result_message {
    bool held = false;
};

/// Asks what has changed in the key-value service behind a revision; answered once the receiver has
/// heard of it again.
struct ask_feed_message {
    std::uint64_t after = 0;
};

struct feed_news_message {
    bool usable = false; ///< False: the receiver cannot tell; nothing else is set.
    /// From the question's arrival to the call to the service that confirms this answer; negative
    /// if that call was earlier.
    duration confirmedAfter{0};
    std::uint64_t revision = 0; ///< Ask for what comes after it next.
    std::vector<kv_change> changes;
};

using peer_body
    = std::variant<ping_message, pong_message, fetch_config_message, config_value_message,
                   hold_batch_message, hold_result_message, ask_feed_message, feed_news_message>;

/// The bytes of one message without the length in front.
std::string encodeMessage(std::uint64_t id, const peer_body &body);

struct peer_message {
    std::uint64_t id = 0;
    peer_body body;
};

/// \throws peer_error if the bytes are not a valid message.
peer_message decodeMessage(const std::string &bytes);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_PEER_MESSAGE_H_
