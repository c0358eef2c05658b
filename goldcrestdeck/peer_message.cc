#include "goldcrestdeck/peer_message.h"

#include "goldcrestdeck/generated/wire_generated.h"

namespace goldcrestdeck {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::int64_t noEvidenceAge = -1;

std::string toString(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

template<typename Table, typename Value, typename Make>
auto writeList(FlatBufferBuilder &builder, const std::vector<Value> &values, const Make &make)
{
    std::vector<Offset<Table>> offsets;
    offsets.reserve(values.size());
    for (const Value &value : values)
        offsets.push_back(make(value));
    return builder.CreateVector(offsets);
}

template<typename Value, typename Vector, typename Make>
std::vector<Value> readList(const Vector *list, const Make &make)
{
    std::vector<Value> values;
    if (list == nullptr)
        return values;
    values.reserve(list->size());
    for (const auto *item : *list)
        values.push_back(make(item));
    return values;
}

auto writeHeartbeats(FlatBufferBuilder &builder, const std::vector<heartbeat> &beats)
{
    std::vector<wire::Heartbeat> packed;
    packed.reserve(beats.size());
    for (const heartbeat &beat : beats)
        packed.emplace_back(beat.host, beat.incarnation, beat.beat, beat.leaving);
    return builder.CreateVectorOfStructs(packed);
}

template<typename Vector>
std::vector<heartbeat> readHeartbeats(const Vector *list)
{
    return readList<heartbeat>(list, [](const wire::Heartbeat *item) {
        return heartbeat{item->host(), item->incarnation(), item->beat(), item->leaving()};
    });
}

auto writeMarks(FlatBufferBuilder &builder, const std::vector<draining_mark> &marks)
{
    return writeList<wire::Mark>(builder, marks, [&](const draining_mark &mark) {
        return wire::CreateMark(builder, builder.CreateString(mark.upstream),
                                static_cast<std::uint32_t>(mark.remaining.count()));
    });
}

template<typename Vector>
std::vector<draining_mark> readMarks(const Vector *list)
{
    return readList<draining_mark>(list, [](const wire::Mark *item) {
        return draining_mark{toString(item->upstream()),
                             std::chrono::milliseconds(item->remaining_ms())};
    });
}

auto writeRates(FlatBufferBuilder &builder, const std::vector<workspace_rate> &rates)
{
    return writeList<wire::Demand>(builder, rates, [&](const workspace_rate &rate) {
        return wire::CreateDemand(builder, builder.CreateString(rate.workspace), rate.perSecond,
                                  rate.leasedPerSecond);
    });
}

template<typename Vector>
std::vector<workspace_rate> readRates(const Vector *list)
{
    return readList<workspace_rate>(list, [](const wire::Demand *item) {
        return workspace_rate{toString(item->workspace()), item->per_second(), item->held()};
    });
}

auto writeCounters(FlatBufferBuilder &builder, const std::vector<rating_counter> &counters)
{
    return writeList<wire::Counter>(builder, counters, [&](const rating_counter &counter) {
        const auto source = builder.CreateString(counter.source);
        const auto workClass = builder.CreateString(counter.subject.workClass);
        const auto version = builder.CreateString(counter.subject.version);
        const rating_sums &total = counter.total;
        return wire::CreateCounter(builder, source, workClass, version, total.count, total.sum,
                                   total.passCount, total.passSum, total.squares);
    });
}

rating_counter readCounter(const wire::Counter *item)
{
    const rating_subject subject{toString(item->work_class()), toString(item->version())};
    const rating_sums total{item->count(), item->sum(), item->pass_count(), item->pass_sum(),
                            item->squares()};
    return {toString(item->source()), subject, total};
}

/// Serializes each type of body. Overloads instead of a switch make a missing type a compile error.
class body_writer
{
public:
    explicit body_writer(FlatBufferBuilder &builder)
        : m_builder(builder)
    { }

    Offset<void> operator()(const ping_message &ping)
    {
        type = wire::Body_Ping;
        const auto host = m_builder.CreateString(ping.host);
        const auto source = m_builder.CreateString(ping.source);
        const auto ratingsSource = m_builder.CreateString(ping.ratingsSource);
        const auto beats = writeHeartbeats(m_builder, ping.heartbeats);
        const auto marks = writeMarks(m_builder, ping.marks);
        const auto demands = writeRates(m_builder, ping.demands);
        return wire::CreatePing(m_builder, host, source, ratingsSource, ping.ratingsAfter, beats,
                                marks, demands)
            .Union();
    }

    Offset<void> operator()(const pong_message &pong)
    {
        type = wire::Body_Pong;
        const auto host = m_builder.CreateString(pong.report.host);
        const auto beats = writeHeartbeats(m_builder, pong.heartbeats);
        const auto marks = writeMarks(m_builder, pong.marks);
        const auto counters = writeCounters(m_builder, pong.counters);
        const auto ratingsSource = m_builder.CreateString(pong.ratingsSource);
        const std::vector<std::uint64_t> above(pong.applied.above.begin(),
                                               pong.applied.above.end());
        const auto aboveVector = m_builder.CreateVector(above);
        const auto applied = wire::CreateApplied(m_builder, 0, pong.applied.floor, aboveVector);
        const auto grants = writeRates(m_builder, pong.grants);
        const std::int64_t age
            = pong.report.evidenceAge ? pong.report.evidenceAge->count() : noEvidenceAge;
        return wire::CreatePong(m_builder, host, pong.report.revision, age, pong.report.recovered,
                                pong.report.incarnation, beats, marks, counters, pong.ratingsUpTo,
                                ratingsSource, applied, grants)
            .Union();
    }

    Offset<void> operator()(const fetch_config_message &)
    {
        type = wire::Body_FetchConfig;
        return wire::CreateFetchConfig(m_builder).Union();
    }

    Offset<void> operator()(const config_value_message &value)
    {
        type = wire::Body_ConfigValue;
        const auto text = m_builder.CreateString(value.value);
        return wire::CreateConfigValue(m_builder, value.revision, text).Union();
    }

    Offset<void> operator()(const hold_batch_message &hold)
    {
        type = wire::Body_HoldBatch;
        const auto batch = m_builder.CreateString(hold.batch);
        return wire::CreateHoldBatch(m_builder, batch,
                                     static_cast<std::uint32_t>(hold.delay.count()))
            .Union();
    }

    Offset<void> operator()(const hold_result_message &result)
    {
        type = wire::Body_HoldResult;
        return wire::CreateHoldResult(m_builder, result.held).Union();
    }

    Offset<void> operator()(const feed_request_message &request)
    {
        type = wire::Body_AskFeed;
        return wire::CreateAskFeed(m_builder, request.after, request.epoch).Union();
    }

    Offset<void> operator()(const feed_update_message &update)
    {
        type = wire::Body_FeedNews;
        const auto changes
            = writeList<wire::FeedItem>(m_builder, update.changes, [&](const kv_change &change) {
                  const auto key = m_builder.CreateString(change.item.key);
                  const auto value = m_builder.CreateString(change.item.value);
                  return wire::CreateFeedItem(m_builder, key, value, change.item.revision,
                                              change.deleted);
              });
        return wire::CreateFeedNews(m_builder, update.valid, update.confirmationDelay.count(),
                                    update.revision, changes, update.epoch)
            .Union();
    }

    Offset<void> operator()(const copy_request_message &request)
    {
        type = wire::Body_AskCopy;
        const auto host = m_builder.CreateString(request.host);
        return wire::CreateAskCopy(m_builder, host, request.part, request.epoch).Union();
    }

    Offset<void> operator()(const copy_part_message &message)
    {
        type = wire::Body_CopyPart;
        const auto pieces = writeList<wire::CopyPiece>(
            m_builder, message.part.pieces, [&](const copy_piece &piece) {
                const auto key = m_builder.CreateString(piece.item.key);
                const auto value = m_builder.CreateString(piece.item.value);
                return wire::CreateCopyPiece(m_builder, key, value, piece.item.revision,
                                             piece.continues);
            });
        return wire::CreateCopyPart(m_builder, message.valid, message.confirmationDelay.count(),
                                    message.revision, message.epoch, pieces, message.part.isLast)
            .Union();
    }

    wire::Body type = wire::Body_NONE;

private:
    FlatBufferBuilder &m_builder;
};

ping_message readPing(const wire::Ping *body)
{
    ping_message ping;
    ping.host = toString(body->host());
    ping.source = toString(body->source());
    ping.ratingsSource = toString(body->board());
    ping.ratingsAfter = body->ratings_after();
    ping.heartbeats = readHeartbeats(body->heartbeats());
    ping.marks = readMarks(body->marks());
    ping.demands = readRates(body->demands());
    return ping;
}

pong_message readPong(const wire::Pong *body)
{
    pong_message pong;
    pong.report.host = toString(body->host());
    pong.report.revision = body->revision();
    pong.report.recovered = body->recovered();
    pong.report.incarnation = body->instance();
    if (body->evidence_age_ns() >= 0)
        pong.report.evidenceAge = duration(body->evidence_age_ns());
    pong.heartbeats = readHeartbeats(body->heartbeats());
    pong.marks = readMarks(body->marks());
    pong.counters = readList<rating_counter>(body->counters(), readCounter);
    pong.ratingsUpTo = body->ratings_up_to();
    pong.ratingsSource = toString(body->board());
    if (body->applied() != nullptr) {
        pong.applied.floor = body->applied()->floor();
        if (body->applied()->above() != nullptr)
            pong.applied.above.insert(body->applied()->above()->begin(),
                                      body->applied()->above()->end());
    }
    pong.grants = readRates(body->grants());
    return pong;
}

feed_update_message readFeedUpdate(const wire::FeedNews *body)
{
    feed_update_message update;
    update.valid = body->usable();
    update.confirmationDelay = duration(body->confirmed_after_ns());
    update.revision = body->revision();
    update.epoch = body->epoch();
    update.changes = readList<kv_change>(body->changes(), [](const wire::FeedItem *item) {
        return kv_change{{toString(item->key()), toString(item->value()), item->revision()},
                         item->deleted()};
    });
    return update;
}

copy_part_message readCopyPart(const wire::CopyPart *body)
{
    copy_part_message message;
    message.valid = body->usable();
    message.confirmationDelay = duration(body->confirmed_after_ns());
    message.revision = body->revision();
    message.epoch = body->epoch();
    message.part.isLast = body->last();
    message.part.pieces = readList<copy_piece>(body->pieces(), [](const wire::CopyPiece *piece) {
        return copy_piece{{toString(piece->key()), toString(piece->value()), piece->revision()},
                          piece->continues()};
    });
    return message;
}

} // namespace

std::string encodeMessage(std::uint64_t id, const peer_body &body)
{
    FlatBufferBuilder builder;
    body_writer writer(builder);
    const Offset<void> written = std::visit(writer, body);
    builder.Finish(wire::CreateMessage(builder, id, writer.type, written));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

peer_message decodeMessage(const std::string &bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!wire::VerifyMessageBuffer(verifier))
        throw peer_error("malformed peer message");
    const wire::Message *message = wire::GetMessage(data);
    // The verifier accepts a message that names the type of its body and has none.
    if (message->body() == nullptr)
        throw peer_error("peer message without a body");
    switch (message->body_type()) {
    case wire::Body_Ping:
        return {message->id(), readPing(message->body_as_Ping())};
    case wire::Body_Pong:
        return {message->id(), readPong(message->body_as_Pong())};
    case wire::Body_FetchConfig:
        return {message->id(), fetch_config_message()};
    case wire::Body_ConfigValue: {
        const wire::ConfigValue *value = message->body_as_ConfigValue();
        return {message->id(), config_value_message{value->revision(), toString(value->value())}};
    }
    case wire::Body_HoldBatch: {
        const wire::HoldBatch *hold = message->body_as_HoldBatch();
        return {message->id(),
                hold_batch_message{toString(hold->batch()),
                                   std::chrono::milliseconds(hold->delay_ms())}};
    }
    case wire::Body_HoldResult:
        return {message->id(), hold_result_message{message->body_as_HoldResult()->held()}};
    case wire::Body_AskFeed:
        return {message->id(),
                feed_request_message{message->body_as_AskFeed()->after(),
                                     message->body_as_AskFeed()->epoch()}};
    case wire::Body_FeedNews:
        return {message->id(), readFeedUpdate(message->body_as_FeedNews())};
    case wire::Body_AskCopy: {
        const wire::AskCopy *request = message->body_as_AskCopy();
        return {message->id(),
                copy_request_message{toString(request->host()), request->part(), request->epoch()}};
    }
    case wire::Body_CopyPart:
        return {message->id(), readCopyPart(message->body_as_CopyPart())};
    default:
        throw peer_error("unknown type of peer message");
    }
}

} // namespace goldcrestdeck
