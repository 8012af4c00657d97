#pragma once

#include <Endpoint/WorkerMessage.h>
#include <Gateway/Store.h>
#include <Wire/PeerMessage.h>

#include <string>

namespace Hibiscus {

/// Renders a request as one line of a session transcript, without times.
std::string describe(const WorkerRequest &request);
std::string describe(const StoreRequest &request);
/// Renders a job message between instances. Returns an empty text for all other messages, which are
/// left out of transcripts.
std::string describe(const PeerMessage &message);

} // namespace Hibiscus
