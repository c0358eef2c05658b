#include "goldcrestdeck/config.h"

#include <algorithm>
#include <tuple>

#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

/// Enough for a retry after a lost reply: an operator retries within seconds, and about 460 edits
/// are made in a day.
constexpr std::size_t maxRecentEdits = 64;

std::size_t countPresent(const std::vector<host_entry> &voters, const host_names &present)
{
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(),
                      [&](const host_entry &voter) { return present.count(voter.name) > 0; }));
}

bool isMajority(const std::vector<host_entry> &voters, const host_names &present)
{
    return countPresent(voters, present) * 2 > voters.size();
}

json_value encodeHosts(const std::vector<host_entry> &hosts)
{
    json_value list = json_value::array();
    for (const host_entry &host : hosts) {
        json_value item = json_value::object();
        item.set("name", host.name);
        item.set("peer", host.peerAddress);
        item.set("domain", host.failureDomain);
        list.append(item);
    }
    return list;
}

std::vector<host_entry> decodeHosts(const json_value &list)
{
    std::vector<host_entry> hosts;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const json_value item = list.at(i);
        hosts.push_back({item.string("name"), item.string("peer"), item.string("domain")});
    }
    return hosts;
}

json_value encodeEdit(const table_edit &edit)
{
    json_value item = json_value::object();
    item.set("expected", edit.expectedRowVersion);
    item.set("remove", edit.remove);
    item.set("row", renderTable({edit.row}));
    return item;
}

table_edit decodeEdit(const json_value &item)
{
    const table rows = parseTable(item.string("row"));
    if (rows.size() != 1)
        throw table_error("an edit must contain exactly one row");
    return {item.integer("expected"), item.boolean("remove"), rows.front()};
}

void addOrReplaceHost(std::vector<host_entry> &hosts, const host_entry &host)
{
    for (host_entry &known : hosts) {
        if (known.name == host.name) {
            known = host;
            return;
        }
    }
    hosts.push_back(host);
}

} // namespace

bool operator==(const host_entry &a, const host_entry &b)
{
    return std::tie(a.name, a.peerAddress, a.failureDomain)
        == std::tie(b.name, b.peerAddress, b.failureDomain);
}

bool operator==(const config &a, const config &b)
{
    return std::tie(a.rows, a.voters, a.previousVoters, a.joining, a.editCount, a.recentEdits)
        == std::tie(b.rows, b.voters, b.previousVoters, b.joining, b.editCount, b.recentEdits);
}

const host_entry *findHost(const std::vector<host_entry> &hosts, const std::string &name)
{
    for (const host_entry &host : hosts)
        if (host.name == name)
            return &host;
    return nullptr;
}

host_names namesOf(const std::vector<host_entry> &hosts)
{
    host_names names;
    for (const host_entry &host : hosts)
        names.insert(host.name);
    return names;
}

bool hasQuorum(const config &current, const host_names &present)
{
    if (!isMajority(current.voters, present))
        return false;
    return current.previousVoters.empty() || isMajority(current.previousVoters, present);
}

bool intersectsEveryQuorum(const config &current, const host_names &present)
{
    const auto hasHalf = [&present](const std::vector<host_entry> &hosts) {
        return countPresent(hosts, present) * 2 >= hosts.size();
    };
    return hasHalf(current.voters) && hasHalf(current.previousVoters);
}

std::string encodeConfig(const config &value)
{
    json_value document = json_value::object();
    document.set("rows", renderTable(value.rows));
    document.set("voters", encodeHosts(value.voters));
    document.set("previous_voters", encodeHosts(value.previousVoters));
    document.set("joining", encodeHosts(value.joining));
    document.set("edit_count", value.editCount);
    json_value edits = json_value::array();
    for (const std::string &edit : value.recentEdits)
        edits.append(json_value(edit));
    document.set("recent_edits", edits);
    return document.dump();
}

config decodeConfig(const std::string &text)
{
    try {
        const json_value document = json_value::parse(text);
        config value;
        value.rows = parseTable(document.string("rows"));
        value.voters = decodeHosts(document.get("voters"));
        value.previousVoters = decodeHosts(document.get("previous_voters"));
        value.joining = decodeHosts(document.get("joining"));
        value.editCount = document.integer("edit_count");
        const json_value edits = document.get("recent_edits");
        for (std::size_t i = 0; i < edits.size(); ++i)
            value.recentEdits.push_back(edits.at(i).asString());
        return value;
    } catch (const json_error &error) {
        throw table_error(std::string("malformed configuration value: ") + error.what());
    }
}

std::string encodeEditRequest(const edit_request &request)
{
    json_value document = json_value::object();
    document.set("edit_id", request.editId);
    json_value edits = json_value::array();
    for (const table_edit &edit : request.edits)
        edits.append(encodeEdit(edit));
    document.set("edits", edits);
    return document.dump();
}

edit_request decodeEditRequest(const std::string &text)
{
    try {
        const json_value document = json_value::parse(text);
        edit_request request;
        request.editId = document.string("edit_id");
        const json_value edits = document.get("edits");
        for (std::size_t i = 0; i < edits.size(); ++i)
            request.edits.push_back(decodeEdit(edits.at(i)));
        return request;
    } catch (const json_error &error) {
        throw table_error(std::string("malformed edit request: ") + error.what());
    }
}

config applyEditRequest(const config &current, const edit_request &request)
{
    config next = current;
    ++next.editCount;
    next.rows = applyEdits(current.rows, request.edits, next.editCount);
    next.recentEdits.push_back(request.editId);
    if (next.recentEdits.size() > maxRecentEdits)
        next.recentEdits.erase(next.recentEdits.begin());
    return next;
}

bool containsEdit(const config &current, const std::string &editId)
{
    const std::vector<std::string> &edits = current.recentEdits;
    return std::find(edits.begin(), edits.end(), editId) != edits.end();
}

config withJoining(const config &current, const host_entry &host)
{
    config next = current;
    const bool isVoter = findHost(current.voters, host.name) != nullptr;
    addOrReplaceHost(isVoter ? next.voters : next.joining, host);
    return next;
}

config beginJoint(const config &current, const host_names &dead)
{
    config next = current;
    next.joining.clear();
    for (const host_entry &host : current.joining)
        addOrReplaceHost(next.voters, host);
    const auto isDead = [&](const host_entry &host) { return dead.count(host.name) > 0; };
    next.voters.erase(std::remove_if(next.voters.begin(), next.voters.end(), isDead),
                      next.voters.end());
    if (namesOf(next.voters) == namesOf(current.voters) || next.voters.empty())
        return current;
    next.previousVoters = current.voters;
    return next;
}

config finishJoint(const config &current)
{
    config next = current;
    next.previousVoters.clear();
    return next;
}

} // namespace goldcrestdeck
