#include <Wire/PeerCodec.h>

#include <Wire/PeerMessage_generated.h>

#include <algorithm>
#include <type_traits>

namespace Hibiscus {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using FlatString = Offset<flatbuffers::String>;
using FlatPlaces = Offset<flatbuffers::Vector<Offset<Flat::TaskPlace>>>;

/// FlatBuffers aligns scalars to this many bytes from the buffer's start.
constexpr std::size_t bufferAlignment = alignof(std::uint64_t);

struct EncodedBody
{
    Flat::Body type = Flat::Body::NONE;
    Offset<void> offset;
};

template <class Enum>
std::uint8_t number(Enum value)
{
    return static_cast<std::uint8_t>(value);
}

flatbuffers::Optional<std::int64_t> optionalMicroseconds(const std::optional<Duration> &value)
{
    if (!value)
        return flatbuffers::nullopt;
    return value->count();
}

FlatPlaces encodePlaces(FlatBufferBuilder &builder, const std::vector<TaskPlace> &places)
{
    std::vector<Offset<Flat::TaskPlace>> offsets;
    offsets.reserve(places.size());
    for (const TaskPlace &place : places) {
        const FlatString worker = builder.CreateString(place.worker);
        const FlatString incarnation = builder.CreateString(place.incarnation);
        offsets.push_back(Flat::CreateTaskPlace(builder, worker, incarnation, place.slots));
    }
    return builder.CreateVector(offsets);
}

Offset<Flat::JobSpec> encodeSpec(FlatBufferBuilder &builder, const JobSpec &spec)
{
    const FlatString requestId = builder.CreateString(spec.requestId);
    const FlatString customer = builder.CreateString(spec.customer);
    const FlatString caller = builder.CreateString(spec.caller);
    const FlatString kind = builder.CreateString(spec.kind);
    const FlatString payload = builder.CreateString(spec.payload);
    return Flat::CreateJobSpec(builder, requestId, customer, caller, kind, number(spec.urgency),
                               spec.idempotent, spec.durable, spec.accelerators,
                               number(spec.adjacency), spec.memoryMiB, spec.declaredRunTime.count(),
                               optionalMicroseconds(spec.deadline), payload);
}

Offset<Flat::JobAnswer> encodeAnswer(FlatBufferBuilder &builder, const JobAnswer &answer)
{
    const FlatString result = builder.CreateString(answer.result);
    const FlatString reason = builder.CreateString(answer.reason);
    return Flat::CreateJobAnswer(builder, number(answer.status), result, reason,
                                 optionalMicroseconds(answer.retryAfter));
}

EncodedBody encode(FlatBufferBuilder &builder, const Heartbeat &message)
{
    const FlatString instance = builder.CreateString(message.instance);
    const FlatString dataCenter = builder.CreateString(message.dataCenter);
    const auto table = Flat::CreateHeartbeat(
        builder, instance, dataCenter, message.incarnation, message.ready, message.draining,
        message.configRevision, message.queuedJobs, message.freeSlots);
    return {Flat::Body::Heartbeat, table.Union()};
}

EncodedBody encode(FlatBufferBuilder &builder, const ConfigPull &message)
{
    const auto table = Flat::CreateConfigPull(builder, message.afterRevision);
    return {Flat::Body::ConfigPull, table.Union()};
}

EncodedBody encode(FlatBufferBuilder &builder, const ConfigPush &message)
{
    const FlatString snapshot = builder.CreateString(message.snapshot);
    const auto changes = builder.CreateVectorOfStrings(message.changes);
    const auto table = Flat::CreateConfigPush(builder, message.snapshotRevision, snapshot,
                                              message.firstRevision, changes);
    return {Flat::Body::ConfigPush, table.Union()};
}

EncodedBody encode(FlatBufferBuilder &builder, const SubmitJob &message)
{
    const auto spec = encodeSpec(builder, message.spec);
    const FlatPlaces places = encodePlaces(builder, message.places);
    const FlatString dataCenter = builder.CreateString(message.dataCenter);
    const auto table = Flat::CreateSubmitJob(builder, message.call.value, number(message.role),
                                             dataCenter, spec, message.attempt, places);
    return {Flat::Body::SubmitJob, table.Union()};
}

EncodedBody encode(FlatBufferBuilder &builder, const AdmitJob &message)
{
    const auto spec = encodeSpec(builder, message.spec);
    const FlatString dataCenter = builder.CreateString(message.dataCenter);
    const auto table = Flat::CreateAdmitJob(builder, message.call.value, dataCenter, spec);
    return {Flat::Body::AdmitJob, table.Union()};
}

EncodedBody encode(FlatBufferBuilder &builder, const CancelJob &message)
{
    const FlatString key = builder.CreateString(message.key);
    const auto table
        = Flat::CreateCancelJob(builder, message.call.value, number(message.role), key);
    return {Flat::Body::CancelJob, table.Union()};
}

EncodedBody encode(FlatBufferBuilder &builder, const QueryJob &message)
{
    const FlatString key = builder.CreateString(message.key);
    const auto table = Flat::CreateQueryJob(builder, message.call.value, number(message.role), key);
    return {Flat::Body::QueryJob, table.Union()};
}

EncodedBody encode(FlatBufferBuilder &builder, const JobUpdate &message)
{
    const FlatString key = builder.CreateString(message.key);
    const auto answer = encodeAnswer(builder, message.answer);
    const auto table
        = Flat::CreateJobUpdate(builder, message.call.value, number(message.from), key, answer,
                                message.notOwner, message.admission, message.recorded);
    return {Flat::Body::JobUpdate, table.Union()};
}

EncodedBody encode(FlatBufferBuilder &builder, const AssignJob &message)
{
    const FlatString key = builder.CreateString(message.key);
    const FlatPlaces places = encodePlaces(builder, message.places);
    const auto table = Flat::CreateAssignJob(builder, message.call.value, key, message.attempt,
                                             message.dispatcherIncarnation, places);
    return {Flat::Body::AssignJob, table.Union()};
}

EncodedBody encode(FlatBufferBuilder &builder, const AssignReply &message)
{
    const FlatString key = builder.CreateString(message.key);
    const auto table = Flat::CreateAssignReply(builder, message.call.value, key, message.attempt,
                                               message.accepted);
    return {Flat::Body::AssignReply, table.Union()};
}

/// Converts verified tables to messages and reports errors that the FlatBuffers verifier cannot
/// detect.
class Reader
{
public:
    explicit Reader(std::size_t size)
        : textBudget(size)
    {}

    const Findings &findings() const { return this->problems; }

    PeerMessage read(const Flat::Envelope &envelope)
    {
        switch (envelope.body_type()) {
        case Flat::Body::Heartbeat:
            return this->read(*envelope.body_as_Heartbeat());
        case Flat::Body::ConfigPull:
            return ConfigPull{envelope.body_as_ConfigPull()->after_revision()};
        case Flat::Body::ConfigPush:
            return this->read(*envelope.body_as_ConfigPush());
        case Flat::Body::SubmitJob:
            return this->read(*envelope.body_as_SubmitJob());
        case Flat::Body::AdmitJob:
            return this->read(*envelope.body_as_AdmitJob());
        case Flat::Body::CancelJob:
            return this->read<CancelJob>(*envelope.body_as_CancelJob());
        case Flat::Body::QueryJob:
            return this->read<QueryJob>(*envelope.body_as_QueryJob());
        case Flat::Body::JobUpdate:
            return this->read(*envelope.body_as_JobUpdate());
        case Flat::Body::AssignJob:
            return this->read(*envelope.body_as_AssignJob());
        case Flat::Body::AssignReply:
            return this->read(*envelope.body_as_AssignReply());
        case Flat::Body::NONE:
            break;
        }
        this->problems.add("/body_type", "is not a known message type");
        return {};
    }

private:
    // Several offsets may reference one string, so that a small malicious buffer could expand into
    // a huge message. The total text size is therefore limited to the size of the buffer, which no
    // valid message exceeds.
    std::string text(const flatbuffers::String *value)
    {
        if (!value)
            return {};
        if (value->size() > this->textBudget) {
            this->textBudget = 0;
            this->problems.add("/body", "references the same string more than once");
            return {};
        }
        this->textBudget -= value->size();
        return value->str();
    }

    template <class Enum>
    Enum enumeration(std::string_view place, std::uint8_t value, Enum last)
    {
        if (value > number(last))
            this->problems.add(place, "is out of range");
        return static_cast<Enum>(std::min(value, number(last)));
    }

    std::optional<Duration> duration(const flatbuffers::Optional<std::int64_t> &value)
    {
        if (!value)
            return std::nullopt;
        return Duration(*value);
    }

    std::vector<TaskPlace> places(const flatbuffers::Vector<Offset<Flat::TaskPlace>> *values)
    {
        std::vector<TaskPlace> result;
        if (!values)
            return result;
        result.reserve(values->size());
        for (const Flat::TaskPlace *value : *values) {
            std::string worker = this->text(value->worker());
            std::string incarnation = this->text(value->incarnation());
            result.push_back({std::move(worker), std::move(incarnation), value->slots()});
        }
        return result;
    }

    JobSpec spec(const Flat::JobSpec &table)
    {
        JobSpec result;
        result.requestId = this->text(table.request_id());
        result.customer = this->text(table.customer());
        result.caller = this->text(table.caller());
        result.kind = this->text(table.kind());
        result.urgency
            = this->enumeration("/body/spec/urgency", table.urgency(), UrgencyClass::Background);
        result.idempotent = table.idempotent();
        result.durable = table.durable();
        result.accelerators = table.accelerators();
        result.adjacency = this->enumeration("/body/spec/adjacency", table.adjacency(),
                                             Adjacency::NeighboringRacks);
        result.memoryMiB = table.memory_mib();
        result.declaredRunTime = Duration(table.declared_run_time_us());
        result.deadline = this->duration(table.deadline_us());
        result.payload = this->text(table.payload());
        return result;
    }

    JobAnswer answer(const Flat::JobAnswer &table)
    {
        JobAnswer result;
        result.status
            = this->enumeration("/body/answer/status", table.status(), JobStatus::OutcomeUnknown);
        result.result = this->text(table.result());
        result.reason = this->text(table.reason());
        result.retryAfter = this->duration(table.retry_after_us());
        return result;
    }

    Heartbeat read(const Flat::Heartbeat &table)
    {
        Heartbeat result;
        result.instance = this->text(table.instance());
        result.dataCenter = this->text(table.data_center());
        result.incarnation = table.incarnation();
        result.ready = table.ready();
        result.draining = table.draining();
        result.configRevision = table.config_revision();
        result.queuedJobs = table.queued_jobs();
        result.freeSlots = table.free_slots();
        return result;
    }

    ConfigPush read(const Flat::ConfigPush &table)
    {
        ConfigPush result;
        result.snapshotRevision = table.snapshot_revision();
        result.snapshot = this->text(table.snapshot());
        result.firstRevision = table.first_revision();
        if (!table.changes())
            return result;
        result.changes.reserve(table.changes()->size());
        for (const flatbuffers::String *change : *table.changes())
            result.changes.push_back(this->text(change));
        return result;
    }

    SubmitJob read(const Flat::SubmitJob &table)
    {
        SubmitJob result;
        result.call = CallId{table.call()};
        result.role = this->enumeration("/body/role", table.role(), JobRole::Dispatcher);
        result.dataCenter = this->text(table.data_center());
        result.spec = this->spec(*table.spec());
        result.attempt = table.attempt();
        result.places = this->places(table.places());
        return result;
    }

    AdmitJob read(const Flat::AdmitJob &table)
    {
        AdmitJob result;
        result.call = CallId{table.call()};
        result.dataCenter = this->text(table.data_center());
        result.spec = this->spec(*table.spec());
        return result;
    }

    template <class Message, class Table>
    Message read(const Table &table)
    {
        Message result;
        result.call = CallId{table.call()};
        result.role = this->enumeration("/body/role", table.role(), JobRole::Dispatcher);
        result.key = this->text(table.key());
        return result;
    }

    JobUpdate read(const Flat::JobUpdate &table)
    {
        JobUpdate result;
        result.call = CallId{table.call()};
        result.from = this->enumeration("/body/from", table.from(), JobRole::Dispatcher);
        result.key = this->text(table.key());
        result.answer = this->answer(*table.answer());
        result.notOwner = table.not_owner();
        result.admission = table.admission();
        result.recorded = table.recorded();
        return result;
    }

    AssignJob read(const Flat::AssignJob &table)
    {
        AssignJob result;
        result.call = CallId{table.call()};
        result.key = this->text(table.key());
        result.attempt = table.attempt();
        result.dispatcherIncarnation = table.dispatcher_incarnation();
        result.places = this->places(table.places());
        return result;
    }

    AssignReply read(const Flat::AssignReply &table)
    {
        AssignReply result;
        result.call = CallId{table.call()};
        result.key = this->text(table.key());
        result.attempt = table.attempt();
        result.accepted = table.accepted();
        return result;
    }

    Findings problems;
    std::size_t textBudget;
};

tl::unexpected<Findings> malformed(std::string_view message)
{
    Findings findings;
    findings.add("", message);
    return tl::unexpected(std::move(findings));
}

tl::expected<PeerMessage, Findings> decodeAligned(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!Flat::VerifyEnvelopeBuffer(verifier))
        return malformed("is not a valid FlatBuffers table");
    Reader reader(bytes.size());
    PeerMessage message = reader.read(*Flat::GetEnvelope(bytes.data()));
    if (!reader.findings().isEmpty())
        return tl::unexpected(reader.findings());
    return message;
}

} // namespace

std::vector<std::uint8_t> encodePeerMessage(const PeerMessage &message)
{
    FlatBufferBuilder builder;
    const EncodedBody body = std::visit(
        [&builder](const auto &alternative) { return encode(builder, alternative); }, message);
    builder.Finish(Flat::CreateEnvelope(builder, body.type, body.offset));
    const std::uint8_t *begin = builder.GetBufferPointer();
    return {begin, begin + builder.GetSize()};
}

tl::expected<PeerMessage, Findings> decodePeerMessage(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() >= FLATBUFFERS_MAX_BUFFER_SIZE)
        return malformed("is too large");
    const auto address = reinterpret_cast<std::uintptr_t>(bytes.data());
    if (address % bufferAlignment == 0)
        return decodeAligned(bytes);
    const std::vector<std::uint8_t> copy(bytes.begin(), bytes.end());
    return decodeAligned(copy);
}

} // namespace Hibiscus
