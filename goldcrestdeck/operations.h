#ifndef GOLDCRESTDECK_OPERATIONS_H_
#define GOLDCRESTDECK_OPERATIONS_H_

/// \file
/// At-most-once execution: the ledger of operations that must not be repeated.
///
/// An operation is identified by a workspace and its idempotency key. Before anything is sent
/// upstream, an attempt claims the operation by appending an entry to a ledger page with
/// compare-and-swap. The first claim in page order wins, and only the attempt that knows it has won
/// sends the request, once. The claim is kept, so a later attempt learns the outcome of the first:
/// done, or possibly run. An attempt that knows it has sent nothing releases its claim.
///
/// No lease is needed: a claim is won or lost for good, however long the attempt was paused.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

enum class ledger_event {
    claim,  ///< From this entry on, the attempt may have been sent.
    done,   ///< The response to the attempt is known.
    release ///< The attempt was never sent; the operation can be claimed again.
};

struct ledger_entry {
    ledger_event event = ledger_event::claim;
    std::string operation; ///< Hash of workspace and key.
    std::string payload;   ///< Hash of the request; claims only.
    std::string attempt;   ///< Unique id of one attempt on one host.
    wall_time when;
    int status = 0;           ///< HTTP status of the response; done entries only.
    std::string responseBody; ///< Empty if too long to be stored; done entries only.
    std::string responseHash; ///< SHA-256 of the body; done entries only.
};

bool operator==(const ledger_entry &a, const ledger_entry &b);

struct ledger_page {
    std::uint64_t number = 0;
    bool sealed = false;
    std::vector<ledger_entry> entries;
};

bool operator==(const ledger_page &a, const ledger_page &b);

std::string encode(const ledger_page &page);
/// \throws json_error
void decode(const std::string &text, ledger_page &page);
/// \returns the empty page that follows the sealed \a page.
ledger_page successor(const ledger_page &page);

/// State of one operation according to the ledger.
struct operation_state {
    std::string payload;
    std::string attempt; ///< The attempt that holds the claim; empty if unclaimed.
    bool done = false;
    int status = 0;
    std::string responseBody;
    std::string responseHash;
};

bool operator==(const operation_state &a, const operation_state &b);

/// The state of each operation, computed by applying the ledger's entries in order.
class ledger_index
{
public:
    void apply(const ledger_entry &entry);
    /// Sets the initial state of \a operation, as computed by another index.
    void seed(const std::string &operation, const operation_state &state);
    /// \returns nothing for an operation that was never claimed or whose claim was released.
    std::optional<operation_state> find(const std::string &operation) const;
    std::size_t size() const { return m_states.size(); }

private:
    std::map<std::string, operation_state> m_states;
};

enum class claim_verdict {
    won,             ///< This attempt holds the claim and may send the request, once.
    replay,          ///< Already done with the same payload; the state holds the response.
    may_have_run,    ///< Claimed by another attempt whose outcome is unknown.
    payload_conflict ///< The key was used before with another payload.
};

const char *toString(claim_verdict verdict);

/// Evaluates \a claim against the operation's \a state. \returns nothing if the operation is
/// unclaimed, so that the claim has still to be appended.
std::optional<claim_verdict> evaluateClaim(const std::optional<operation_state> &state,
                                           const ledger_entry &claim);

std::string operationHash(const std::string &workspace, const std::string &key);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_OPERATIONS_H_
