#include "goldcrestdeck/operations.h"

#include <array>
#include <tuple>
#include <utility>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

constexpr std::array<std::pair<ledger_event, const char *>, 3> eventNames
    = {{{ledger_event::claim, "claim"},
        {ledger_event::done, "done"},
        {ledger_event::release, "release"}}};

const char *nameOf(ledger_event event)
{
    for (const auto &[candidate, name] : eventNames)
        if (candidate == event)
            return name;
    return "";
}

ledger_event eventOf(const std::string &text)
{
    for (const auto &[event, name] : eventNames)
        if (text == name)
            return event;
    throw json_error("unknown ledger event '" + text + "'");
}

json_value encodeEntry(const ledger_entry &entry)
{
    json_value item = json_value::object();
    item.set("e", nameOf(entry.event));
    item.set("o", entry.operation);
    item.set("a", entry.attempt);
    item.set("t", static_cast<std::uint64_t>(entry.when.time_since_epoch().count()));
    if (entry.event == ledger_event::claim)
        item.set("p", entry.payload);
    if (entry.event == ledger_event::done) {
        item.set("s", static_cast<std::uint64_t>(entry.status));
        item.set("b", base64Encode(entry.responseBody));
        item.set("h", entry.responseHash);
    }
    return item;
}

ledger_entry decodeEntry(const json_value &item)
{
    ledger_entry entry;
    entry.event = eventOf(item.string("e"));
    entry.operation = item.string("o");
    entry.attempt = item.string("a");
    entry.when = wall_time(std::chrono::milliseconds(item.integer("t")));
    entry.payload = item.string("p", "");
    entry.status = static_cast<int>(item.integer("s", 0));
    entry.responseBody = base64Decode(item.string("b", ""));
    entry.responseHash = item.string("h", "");
    return entry;
}

} // namespace

bool operator==(const ledger_entry &a, const ledger_entry &b)
{
    return std::tie(a.event, a.operation, a.payload, a.attempt, a.when, a.status, a.responseBody,
                    a.responseHash)
        == std::tie(b.event, b.operation, b.payload, b.attempt, b.when, b.status, b.responseBody,
                    b.responseHash);
}

bool operator==(const ledger_page &a, const ledger_page &b)
{
    return std::tie(a.number, a.sealed, a.entries) == std::tie(b.number, b.sealed, b.entries);
}

std::string encode(const ledger_page &page)
{
    json_value document = json_value::object();
    document.set("number", page.number);
    document.set("sealed", page.sealed);
    json_value entries = json_value::array();
    for (const ledger_entry &entry : page.entries)
        entries.append(encodeEntry(entry));
    document.set("entries", entries);
    return document.dump();
}

void decode(const std::string &text, ledger_page &page)
{
    const json_value document = json_value::parse(text);
    page.number = document.integer("number");
    page.sealed = document.boolean("sealed");
    page.entries.clear();
    const json_value entries = document.get("entries");
    for (std::size_t i = 0; i < entries.size(); ++i)
        page.entries.push_back(decodeEntry(entries.at(i)));
}

ledger_page successor(const ledger_page &page)
{
    return {page.number + 1, false, {}};
}

bool operator==(const operation_state &a, const operation_state &b)
{
    return std::tie(a.payload, a.attempt, a.done, a.status, a.responseBody, a.responseHash)
        == std::tie(b.payload, b.attempt, b.done, b.status, b.responseBody, b.responseHash);
}

void ledger_index::apply(const ledger_entry &entry)
{
    operation_state &state = m_states[entry.operation];
    switch (entry.event) {
    case ledger_event::claim:
        if (state.attempt.empty())
            state = {entry.payload, entry.attempt, false, 0, {}, {}};
        return;
    case ledger_event::done:
        if (state.attempt != entry.attempt)
            return;
        state.done = true;
        state.status = entry.status;
        state.responseBody = entry.responseBody;
        state.responseHash = entry.responseHash;
        return;
    case ledger_event::release:
        if (state.attempt == entry.attempt && !state.done)
            m_states.erase(entry.operation);
        return;
    }
}

void ledger_index::seed(const std::string &operation, const operation_state &state)
{
    m_states[operation] = state;
}

std::optional<operation_state> ledger_index::find(const std::string &operation) const
{
    const auto state = m_states.find(operation);
    if (state == m_states.end())
        return std::nullopt;
    return state->second;
}

const char *toString(claim_verdict verdict)
{
    switch (verdict) {
    case claim_verdict::won:
        return "won";
    case claim_verdict::replay:
        return "replay";
    case claim_verdict::may_have_run:
        return "may_have_run";
    case claim_verdict::payload_conflict:
        break;
    }
    return "payload_conflict";
}

std::optional<claim_verdict> evaluateClaim(const std::optional<operation_state> &state,
                                           const ledger_entry &claim)
{
    if (!state || state->attempt.empty())
        return std::nullopt;
    if (state->attempt == claim.attempt)
        return claim_verdict::won;
    if (state->payload != claim.payload)
        return claim_verdict::payload_conflict;
    return state->done ? claim_verdict::replay : claim_verdict::may_have_run;
}

std::string operationHash(const std::string &workspace, const std::string &key)
{
    return sha256Hex(workspace + '\n' + key);
}

} // namespace goldcrestdeck
