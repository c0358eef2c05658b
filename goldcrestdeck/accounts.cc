#include "goldcrestdeck/accounts.h"

#include <tuple>

#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

/// At most this many entries of applied_set::above are decoded.
constexpr std::size_t maxAppliedGaps = 100'000;

json_value encodeBills(const bill_sums &bills)
{
    json_value list = json_value::array();
    for (const auto &[key, sum] : bills) {
        json_value item = json_value::object();
        item.set("w", key.workspace);
        item.set("v", key.version);
        item.set("n", sum.requests);
        item.set("c", sum.costMicros);
        list.append(item);
    }
    return list;
}

bill_sums decodeBills(const json_value &list)
{
    bill_sums bills;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const json_value item = list.at(i);
        bills[{item.string("w"), item.string("v")}] = {item.integer("n"), item.integer("c")};
    }
    return bills;
}

json_value encodeRefusals(const std::vector<refusal_record> &refusals)
{
    json_value list = json_value::array();
    for (const refusal_record &record : refusals) {
        json_value item = json_value::object();
        item.set("t", static_cast<std::uint64_t>(record.when.time_since_epoch().count()));
        item.set("w", record.workspace);
        item.set("i", record.requestId);
        item.set("c", record.code);
        item.set("r", toString(record.run));
        list.append(item);
    }
    return list;
}

execution_state runStateOf(const std::string &text)
{
    for (execution_state run : {execution_state::no, execution_state::yes})
        if (text == toString(run))
            return run;
    return execution_state::unknown;
}

std::vector<refusal_record> decodeRefusals(const json_value &list)
{
    std::vector<refusal_record> refusals;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const json_value item = list.at(i);
        refusal_record record;
        record.when = wall_time(std::chrono::milliseconds(item.integer("t")));
        record.workspace = item.string("w");
        record.requestId = item.string("i");
        record.code = item.string("c");
        record.run = runStateOf(item.string("r"));
        refusals.push_back(record);
    }
    return refusals;
}

json_value encodeApplied(const std::map<std::string, applied_set> &applied)
{
    json_value list = json_value::array();
    for (const auto &[source, set] : applied) {
        json_value item = json_value::object();
        item.set("s", source);
        item.set("f", set.floor);
        json_value above = json_value::array();
        for (std::uint64_t sequence : set.above)
            above.append(json_value(std::to_string(sequence)));
        item.set("a", above);
        list.append(item);
    }
    return list;
}

std::map<std::string, applied_set> decodeApplied(const json_value &list)
{
    std::map<std::string, applied_set> applied;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const json_value item = list.at(i);
        applied_set &set = applied[item.string("s")];
        set.floor = item.integer("f");
        const json_value above = item.get("a");
        for (std::size_t k = 0; k < above.size() && k < maxAppliedGaps; ++k)
            set.above.insert(std::stoull(above.at(k).asString()));
    }
    return applied;
}

} // namespace

bool operator<(const bill_key &a, const bill_key &b)
{
    return std::tie(a.workspace, a.version) < std::tie(b.workspace, b.version);
}

bool operator==(const bill_sum &a, const bill_sum &b)
{
    return std::tie(a.requests, a.costMicros) == std::tie(b.requests, b.costMicros);
}

bool operator==(const bill_key &a, const bill_key &b)
{
    return std::tie(a.workspace, a.version) == std::tie(b.workspace, b.version);
}

bool operator==(const refusal_record &a, const refusal_record &b)
{
    return std::tie(a.when, a.workspace, a.requestId, a.code, a.run)
        == std::tie(b.when, b.workspace, b.requestId, b.code, b.run);
}

bool operator<(const batch_id &a, const batch_id &b)
{
    return std::tie(a.source, a.sequence) < std::tie(b.source, b.sequence);
}

bool operator==(const batch_id &a, const batch_id &b)
{
    return std::tie(a.source, a.sequence) == std::tie(b.source, b.sequence);
}

bool operator==(const account_batch &a, const account_batch &b)
{
    return std::tie(a.id, a.bills, a.refusals) == std::tie(b.id, b.bills, b.refusals);
}

bool applied_set::contains(std::uint64_t sequence) const
{
    return sequence <= floor || above.count(sequence) > 0;
}

void applied_set::add(std::uint64_t sequence)
{
    if (contains(sequence))
        return;
    above.insert(sequence);
    while (!above.empty() && *above.begin() == floor + 1) {
        ++floor;
        above.erase(above.begin());
    }
}

bool operator==(const applied_set &a, const applied_set &b)
{
    return std::tie(a.floor, a.above) == std::tie(b.floor, b.above);
}

bool operator==(const account_page &a, const account_page &b)
{
    return std::tie(a.number, a.sealed, a.totals, a.applied, a.refusals)
        == std::tie(b.number, b.sealed, b.totals, b.applied, b.refusals);
}

bool applyBatch(account_page &page, const account_batch &batch)
{
    applied_set &applied = page.applied[batch.id.source];
    if (applied.contains(batch.id.sequence))
        return false;
    applied.add(batch.id.sequence);
    for (const auto &[key, sum] : batch.bills) {
        bill_sum &total = page.totals[key];
        total.requests += sum.requests;
        total.costMicros += sum.costMicros;
    }
    page.refusals.insert(page.refusals.end(), batch.refusals.begin(), batch.refusals.end());
    return true;
}

account_page successor(const account_page &page)
{
    account_page next;
    next.number = page.number + 1;
    next.totals = page.totals;
    next.applied = page.applied;
    return next;
}

std::string encode(const account_page &page)
{
    json_value document = json_value::object();
    document.set("number", page.number);
    document.set("sealed", page.sealed);
    document.set("totals", encodeBills(page.totals));
    document.set("applied", encodeApplied(page.applied));
    document.set("refusals", encodeRefusals(page.refusals));
    return document.dump();
}

void decode(const std::string &text, account_page &page)
{
    const json_value document = json_value::parse(text);
    page.number = document.integer("number");
    page.sealed = document.boolean("sealed");
    page.totals = decodeBills(document.get("totals"));
    page.applied = decodeApplied(document.get("applied"));
    page.refusals = decodeRefusals(document.get("refusals"));
}

std::string encodeBatch(const account_batch &batch)
{
    json_value document = json_value::object();
    document.set("source", batch.id.source);
    document.set("sequence", batch.id.sequence);
    document.set("bills", encodeBills(batch.bills));
    document.set("refusals", encodeRefusals(batch.refusals));
    return document.dump();
}

account_batch decodeBatch(const std::string &text)
{
    const json_value document = json_value::parse(text);
    account_batch batch;
    batch.id = {document.string("source"), document.integer("sequence")};
    batch.bills = decodeBills(document.get("bills"));
    batch.refusals = decodeRefusals(document.get("refusals"));
    return batch;
}

std::size_t recordCount(const account_batch &batch)
{
    return batch.bills.size() + batch.refusals.size();
}

journal::journal(std::string source, journal_limits limits)
    : m_source(std::move(source))
    , m_limits(limits)
{
    m_open.id = {m_source, 1};
}

void journal::addBill(const bill_key &key, std::uint64_t costMicros)
{
    const auto [entry, added] = m_open.bills.try_emplace(key);
    if (added)
        ++m_records;
    ++entry->second.requests;
    entry->second.costMicros += costMicros;
}

void journal::addRefusal(const refusal_record &record)
{
    m_open.refusals.push_back(record);
    ++m_records;
}

account_batch journal::closeBatch()
{
    account_batch closed = std::move(m_open);
    m_open = {};
    m_open.id = {m_source, closed.id.sequence + 1};
    m_unwritten.emplace(closed.id.sequence, closed);
    return closed;
}

void journal::removeWritten(const applied_set &applied)
{
    for (auto it = m_unwritten.begin(); it != m_unwritten.end();) {
        if (applied.contains(it->first)) {
            m_records -= recordCount(it->second);
            it = m_unwritten.erase(it);
        } else {
            ++it;
        }
    }
}

batch_store::batch_store(std::size_t maxRecords)
    : m_maxRecords(maxRecords)
{ }

bool batch_store::hold(const account_batch &batch, time_point due)
{
    if (m_batches.count(batch.id) > 0)
        return true;
    const std::size_t records = recordCount(batch);
    if (m_records + records > m_maxRecords)
        return false;
    m_records += records;
    m_batches.emplace(batch.id, held_batch{batch, due});
    return true;
}

std::vector<account_batch> batch_store::due(time_point now) const
{
    std::vector<account_batch> batches;
    for (const auto &[id, entry] : m_batches)
        if (entry.due <= now)
            batches.push_back(entry.batch);
    return batches;
}

void batch_store::removeWritten(const std::map<std::string, applied_set> &applied)
{
    for (auto it = m_batches.begin(); it != m_batches.end();) {
        const auto set = applied.find(it->first.source);
        if (set != applied.end() && set->second.contains(it->first.sequence)) {
            m_records -= recordCount(it->second.batch);
            it = m_batches.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace goldcrestdeck
