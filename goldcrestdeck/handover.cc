// The state travels in header fields with numbers, each of which is checked.

#include "goldcrestdeck/handover.h"

#include <algorithm>
#include <charconv>
#include <tuple>

#include "goldcrestdeck/wire_format.h"

namespace goldcrestdeck {

namespace {

constexpr const char *remainingField = "Goldcrest-Remaining-Ms";
constexpr const char *maxAttemptsField = "Goldcrest-Max-Attempts";
constexpr const char *deliveriesField = "Goldcrest-Deliveries";
constexpr const char *countedField = "Goldcrest-Counted";
constexpr const char *serviceField = "Goldcrest-Service";
constexpr const char *modelField = "Goldcrest-Model";
constexpr const char *lastEventField = "Goldcrest-Last-Event";
constexpr const char *configField = "Goldcrest-Config-Version";
constexpr const char *attemptsField = "Goldcrest-Attempts";
constexpr const char *codeField = "Goldcrest-Code";

constexpr std::uint64_t maxRemainingMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t maxCount = 1000;
/// Time for which a host that refused, or that has lost its path, is not chosen.
constexpr std::chrono::milliseconds refusedBackOff{1000};
/// Time for which a host that could not be reached is not chosen.
constexpr std::chrono::milliseconds unreachableBackOff{5000};

std::optional<std::uint64_t> takeNumber(http_fields &fields, const char *name)
{
    const std::string text(fields[name]);
    fields.erase(name);
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

std::uint64_t takeNumber(http_fields &fields, const char *name, std::uint64_t most)
{
    const auto value = takeNumber(fields, name);
    if (!value || *value > most)
        throw request_error(std::string("the handed-over request has no valid ") + name);
    return *value;
}

} // namespace

bool operator==(const handover_request &a, const handover_request &b)
{
    const auto members = [](const handover_request &r) {
        return std::tie(r.remainingTime, r.maxAttempts, r.deliveries, r.isCounted, r.service,
                        r.modelIndex, r.lastEventId, r.configVersion);
    };
    return members(a) == members(b);
}

void encodeHandover(const handover_request &request, http_fields &fields)
{
    fields.set(remainingField, std::to_string(request.remainingTime.count()));
    fields.set(maxAttemptsField, std::to_string(request.maxAttempts));
    fields.set(deliveriesField, std::to_string(request.deliveries));
    fields.set(countedField, request.isCounted ? "1" : "0");
    fields.set(serviceField, request.service);
    fields.set(modelField, std::to_string(request.modelIndex));
    fields.set(configField, std::to_string(request.configVersion));
    if (request.lastEventId)
        fields.set(lastEventField, std::to_string(*request.lastEventId));
    else
        fields.erase(lastEventField);
}

handover_request takeHandover(http_fields &fields)
{
    handover_request request;
    request.remainingTime
        = std::chrono::milliseconds(takeNumber(fields, remainingField, maxRemainingMs));
    request.maxAttempts = static_cast<unsigned>(takeNumber(fields, maxAttemptsField, maxCount));
    request.deliveries = static_cast<unsigned>(takeNumber(fields, deliveriesField, maxCount));
    request.isCounted = takeNumber(fields, countedField, 1) == 1;
    request.service = std::string(fields[serviceField]);
    fields.erase(serviceField);
    request.modelIndex = takeNumber(fields, modelField, maxCount);
    request.configVersion = takeNumber(fields, configField, UINT64_MAX);
    if (fields.find(lastEventField) != fields.end())
        request.lastEventId = takeNumber(fields, lastEventField, UINT64_MAX);
    return request;
}

bool operator==(const handover_result &a, const handover_result &b)
{
    return std::tie(a.attempts, a.refusedRun, a.refusalCode)
        == std::tie(b.attempts, b.refusedRun, b.refusalCode);
}

void encodeHandoverResult(const handover_result &result, http_fields &fields)
{
    fields.set(attemptsField, std::to_string(result.attempts));
    fields.erase(runField);
    fields.erase(codeField);
    if (!result.refusedRun)
        return;
    fields.set(runField, toString(*result.refusedRun));
    fields.set(codeField, result.refusalCode);
}

std::optional<handover_result> takeHandoverResult(http_fields &fields)
{
    const auto attempts = takeNumber(fields, attemptsField);
    const std::string run(fields[runField]);
    handover_result result;
    result.refusalCode = std::string(fields[codeField]);
    fields.erase(runField);
    fields.erase(codeField);
    if (!attempts || *attempts > maxCount)
        return std::nullopt;
    result.attempts = static_cast<unsigned>(*attempts);
    if (run == toString(execution_state::no))
        result.refusedRun = execution_state::no;
    else if (!run.empty())
        result.refusedRun = execution_state::unknown;
    return result;
}

bool mayOtherHostServe(const std::string &refusalCode)
{
    return refusalCode == pathLostCode || refusalCode == handoverLimitCode
        || refusalCode == olderConfigCode || refusalCode == stoppingCode;
}

handover_targets::handover_targets(std::string self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_random(seed)
    , m_hosts(std::make_shared<const std::vector<registered_host>>())
{ }

void handover_targets::setHosts(std::shared_ptr<const std::vector<registered_host>> hosts)
{
    if (hosts == m_hosts)
        return;
    m_hosts = std::move(hosts);
    std::set<std::string> known;
    for (const registered_host &host : *m_hosts)
        known.insert(host.name);
    for (auto i = m_states.begin(); i != m_states.end();)
        i = i->second.inProgress == 0 && known.count(i->first) == 0 ? m_states.erase(i)
                                                                    : std::next(i);
}

std::optional<registered_host> handover_targets::choose(const std::set<std::string> &tried,
                                                        time_point now,
                                                        const std::set<std::string> *allowed)
{
    std::vector<const registered_host *> usable;
    std::vector<const registered_host *> preferred;
    for (const registered_host &host : *m_hosts) {
        const auto state = m_states.find(host.name);
        if (host.name == m_self || host.handoverAddress.empty() || tried.count(host.name) > 0
            || (allowed != nullptr && allowed->count(host.name) == 0)
            || (state != m_states.end() && now < state->second.unusableUntil))
            continue;
        usable.push_back(&host);
        const auto avoided = m_domainAvoidedUntil.find(host.failureDomain);
        if (avoided == m_domainAvoidedUntil.end() || avoided->second <= now)
            preferred.push_back(&host);
    }
    const auto &candidates = preferred.empty() ? usable : preferred;
    if (candidates.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    const registered_host *first = candidates[index(m_random)];
    const registered_host *second = candidates[index(m_random)];
    const auto load = [this](const registered_host *host) {
        const auto state = m_states.find(host->name);
        return state == m_states.end() ? 0 : state->second.inProgress;
    };
    return load(second) < load(first) ? *second : *first;
}

void handover_targets::recordBegin(const std::string &host)
{
    ++m_states[host].inProgress;
}

void handover_targets::recordEnd(const std::string &host, handover_end end, time_point now)
{
    host_state &state = m_states[host];
    state.inProgress -= std::min<std::size_t>(state.inProgress, 1);
    switch (end) {
    case handover_end::served:
        return;
    case handover_end::refused:
        state.unusableUntil = now + refusedBackOff;
        return;
    case handover_end::unreachable:
        state.unusableUntil = now + unreachableBackOff;
        return;
    case handover_end::pathLost:
        state.unusableUntil = now + refusedBackOff;
        break;
    }
    for (const registered_host &known : *m_hosts) {
        if (known.name == host)
            m_domainAvoidedUntil[known.failureDomain] = now + refusedBackOff;
    }
}

} // namespace goldcrestdeck
