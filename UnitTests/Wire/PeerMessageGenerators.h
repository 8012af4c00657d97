#pragma once

#include <Wire/PeerMessage.h>

#include <rapidcheck.h>

namespace Hibiscus::PeerMessageGenerators {

template <class Value>
rc::Gen<Value> any()
{
    return rc::gen::arbitrary<Value>();
}

inline rc::Gen<Duration> duration()
{
    return rc::gen::map(any<std::int64_t>(), [](std::int64_t value) { return Duration(value); });
}

template <class Enum>
rc::Gen<Enum> upTo(Enum last)
{
    return rc::gen::map(rc::gen::inRange<int>(0, static_cast<int>(last) + 1),
                        [](int value) { return static_cast<Enum>(value); });
}

inline rc::Gen<CallId> call()
{
    return rc::gen::build<CallId>(rc::gen::set(&CallId::value));
}

inline rc::Gen<TaskPlace> place()
{
    return rc::gen::build<TaskPlace>(rc::gen::set(&TaskPlace::worker),
                                     rc::gen::set(&TaskPlace::incarnation),
                                     rc::gen::set(&TaskPlace::slots));
}

inline rc::Gen<std::vector<TaskPlace>> places()
{
    return rc::gen::container<std::vector<TaskPlace>>(place());
}

inline rc::Gen<JobSpec> spec()
{
    return rc::gen::build<JobSpec>(
        rc::gen::set(&JobSpec::requestId), rc::gen::set(&JobSpec::customer),
        rc::gen::set(&JobSpec::caller), rc::gen::set(&JobSpec::kind),
        rc::gen::set(&JobSpec::urgency, upTo(UrgencyClass::Background)),
        rc::gen::set(&JobSpec::idempotent), rc::gen::set(&JobSpec::durable),
        rc::gen::set(&JobSpec::accelerators),
        rc::gen::set(&JobSpec::adjacency, upTo(Adjacency::NeighboringRacks)),
        rc::gen::set(&JobSpec::memoryMiB), rc::gen::set(&JobSpec::declaredRunTime, duration()),
        rc::gen::set(&JobSpec::deadline,
                     rc::gen::oneOf(rc::gen::just(std::optional<Duration>()),
                                    rc::gen::map(duration(),
                                                 [](Duration value) {
                                                     return std::optional<Duration>(value);
                                                 }))),
        rc::gen::set(&JobSpec::payload));
}

inline rc::Gen<JobAnswer> answer()
{
    return rc::gen::build<JobAnswer>(
        rc::gen::set(&JobAnswer::status, upTo(JobStatus::OutcomeUnknown)),
        rc::gen::set(&JobAnswer::result), rc::gen::set(&JobAnswer::reason),
        rc::gen::set(&JobAnswer::retryAfter, rc::gen::map(duration(), [](Duration value) {
            return std::optional<Duration>(value);
        })));
}

template <class Message, class... Setters>
rc::Gen<PeerMessage> message(Setters &&...setters)
{
    return rc::gen::map(rc::gen::build<Message>(std::forward<Setters>(setters)...),
                        [](Message value) { return PeerMessage(std::move(value)); });
}

inline rc::Gen<PeerMessage> heartbeat()
{
    return message<Heartbeat>(
        rc::gen::set(&Heartbeat::instance), rc::gen::set(&Heartbeat::dataCenter),
        rc::gen::set(&Heartbeat::incarnation), rc::gen::set(&Heartbeat::ready),
        rc::gen::set(&Heartbeat::draining), rc::gen::set(&Heartbeat::configRevision),
        rc::gen::set(&Heartbeat::queuedJobs), rc::gen::set(&Heartbeat::freeSlots));
}

inline rc::Gen<PeerMessage> configPull()
{
    return message<ConfigPull>(rc::gen::set(&ConfigPull::afterRevision));
}

inline rc::Gen<PeerMessage> configPush()
{
    return message<ConfigPush>(
        rc::gen::set(&ConfigPush::snapshotRevision), rc::gen::set(&ConfigPush::snapshot),
        rc::gen::set(&ConfigPush::firstRevision), rc::gen::set(&ConfigPush::changes));
}

inline rc::Gen<PeerMessage> submitJob()
{
    return message<SubmitJob>(
        rc::gen::set(&SubmitJob::call, call()),
        rc::gen::set(&SubmitJob::role, upTo(JobRole::Dispatcher)),
        rc::gen::set(&SubmitJob::dataCenter), rc::gen::set(&SubmitJob::spec, spec()),
        rc::gen::set(&SubmitJob::attempt), rc::gen::set(&SubmitJob::places, places()));
}

inline rc::Gen<PeerMessage> admitJob()
{
    return message<AdmitJob>(rc::gen::set(&AdmitJob::call, call()),
                             rc::gen::set(&AdmitJob::dataCenter),
                             rc::gen::set(&AdmitJob::spec, spec()));
}

template <class Message>
rc::Gen<PeerMessage> keyed()
{
    return message<Message>(rc::gen::set(&Message::call, call()),
                            rc::gen::set(&Message::role, upTo(JobRole::Dispatcher)),
                            rc::gen::set(&Message::key));
}

inline rc::Gen<PeerMessage> jobUpdate()
{
    return message<JobUpdate>(
        rc::gen::set(&JobUpdate::call, call()),
        rc::gen::set(&JobUpdate::from, upTo(JobRole::Dispatcher)), rc::gen::set(&JobUpdate::key),
        rc::gen::set(&JobUpdate::answer, answer()), rc::gen::set(&JobUpdate::notOwner),
        rc::gen::set(&JobUpdate::admission), rc::gen::set(&JobUpdate::recorded));
}

inline rc::Gen<PeerMessage> assignJob()
{
    return message<AssignJob>(rc::gen::set(&AssignJob::call, call()), rc::gen::set(&AssignJob::key),
                              rc::gen::set(&AssignJob::attempt),
                              rc::gen::set(&AssignJob::dispatcherIncarnation),
                              rc::gen::set(&AssignJob::places, places()));
}

inline rc::Gen<PeerMessage> assignReply()
{
    return message<AssignReply>(
        rc::gen::set(&AssignReply::call, call()), rc::gen::set(&AssignReply::key),
        rc::gen::set(&AssignReply::attempt), rc::gen::set(&AssignReply::accepted));
}

/// Returns one generator for each alternative of PeerMessage, in the order of the alternatives.
inline std::vector<rc::Gen<PeerMessage>> all()
{
    return {heartbeat(),        configPull(),      configPush(), submitJob(), admitJob(),
            keyed<CancelJob>(), keyed<QueryJob>(), jobUpdate(),  assignJob(), assignReply()};
}

} // namespace Hibiscus::PeerMessageGenerators
