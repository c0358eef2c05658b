#ifndef GOLDCRESTDECK_PEER_MESSAGE_H_
#define GOLDCRESTDECK_PEER_MESSAGE_H_

/// \file
/// Messages between hosts as plain structs, and their FlatBuffers encoding (wire.fbs).

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "goldcrestdeck/accounts.h"
#include "goldcrestdeck/async_kv_store.h"
#include "goldcrestdeck/entry_copy.h"
#include "goldcrestdeck/membership.h"
#include "goldcrestdeck/quality.h"
#include "goldcrestdeck/revision_guard.h"

namespace goldcrestdeck {

/// Request rate of one workspace: the demand in a ping, the leased rate in a pong.
struct workspace_rate {
    std::string workspace;
    double perSecond = 0;
    double leasedPerSecond = 0; ///< In a ping: the rate leased to the sender at present.
};

struct ping_message {
    std::string host;
    std::string source; ///< Host and incarnation, as in the host's account batches.
    /// Source identifier of the receiver's incarnation that ratingsAfter refers to; empty if
    /// unknown.
    std::string ratingsSource;
    std::uint64_t ratingsAfter = 0; ///< Last rating change received from that incarnation.
    std::vector<heartbeat> heartbeats;
    std::vector<draining_mark> marks;
    std::vector<workspace_rate> demands;
};

struct pong_message {
    revision_report report;
    std::vector<heartbeat> heartbeats;
    std::vector<draining_mark> marks;
    std::vector<rating_counter> counters;
    std::uint64_t ratingsUpTo = 0; ///< Number of the last rating change covered by the counters.
    std::string ratingsSource;     ///< Source identifier of the incarnation ratingsUpTo refers to.
    applied_set applied;           ///< Account batches of the ping's sender that have been applied.
    std::vector<workspace_rate> grants;
};

struct fetch_config_message { };

struct config_value_message {
    revision_number revision = 0;
    std::string value;
};

struct hold_batch_message {
    std::string batch;
    std::chrono::milliseconds delay{}; ///< Before the receiver writes the batch to the account.
};

struct hold_result_message {
    bool held = false;
};

/// Requests the changes in the key-value service after a revision. The receiver replies after its
/// next successful poll; if the poll fails, it replies that the changes are unavailable.
struct feed_request_message {
    std::uint64_t after = 0;
    std::uint64_t epoch = 0; ///< That \a after belongs to.
};

struct feed_update_message {
    /// False: the receiver cannot supply the changes; other fields but the epoch are unset.
    bool valid = false;
    /// Time from the arrival of the request to the call to the service that confirmed this reply;
    /// negative if the call was made before the request arrived.
    duration confirmationDelay{0};
    std::uint64_t revision = 0; ///< Revision to send in the next request.
    std::vector<kv_change> changes;
    std::uint64_t epoch = 0; ///< The latest that the receiver knows.
};

/// Requests a part of a copy of all entries in the key-value service. Part 0 begins a new copy; it
/// is answered like feed_request_message. Hosts of earlier releases close the connection.
struct copy_request_message {
    std::string host; ///< The requesting one.
    std::uint32_t part = 0;
    std::uint64_t epoch = 0; ///< The latest that the requesting host knows.
};

struct copy_part_message {
    bool valid = false; ///< False: as in feed_update_message.
    /// As in feed_update_message, for the request of part 0.
    duration confirmationDelay{0};
    std::uint64_t revision = 0; ///< Of the whole copy.
    std::uint64_t epoch = 0;    ///< The latest that the receiver knows.
    copy_part part;
};

using peer_body
    = std::variant<ping_message, pong_message, fetch_config_message, config_value_message,
                   hold_batch_message, hold_result_message, feed_request_message,
                   feed_update_message, copy_request_message, copy_part_message>;

/// Serializes one message, without the frame's length prefix.
std::string encodeMessage(std::uint64_t id, const peer_body &body);

struct peer_message {
    std::uint64_t id = 0;
    peer_body body;
};

/// \throws peer_error if the bytes are not a valid message.
peer_message decodeMessage(const std::string &bytes);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_PEER_MESSAGE_H_
