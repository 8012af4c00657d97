#pragma once

#include <Endpoint/WorkerMessage.h>
#include <Gateway/Store.h>
#include <Wire/PeerMessage.h>

#include <string>

namespace Hibiscus {

/// One line for transcripts of sessions: what was asked of whom, without times.
std::string describe(const WorkerRequest &request);
std::string describe(const StoreRequest &request);
/// Job messages between instances; empty for the rest, which would only fill a transcript.
std::string describe(const PeerMessage &message);

} // namespace Hibiscus
