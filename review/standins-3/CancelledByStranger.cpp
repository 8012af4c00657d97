#include "Scenes.h"

namespace Scene {

using nlohmann::json;

/// A caller without any key sends the id of another tenant's job to a queue that needs no key.
Verdict cancelledByStranger()
{
    const std::string job = "00000000000000b2";
    const std::string path = "/queue-a/" + job;
    Deployment &site
        = Deployment::make({{"r-a", "/queue-a/", 1, false}, {"r-open", "/queue-open/", 1, true}});
    for (const char *id : {"i-0001", "i-0002"})
        site.addWorker(id, "r1-1", {});
    site.startNodes(3);
    const json steps = {{{"count", 2}, {"cpu", 2000}, {"memMb", 1024}, {"estimateMs", 5000}}};
    if (site.client(0, "POST", path, Deployment::key, jobOf(5000, steps)).status != 200)
        return NotRun;
    if (!site.awaitState(0, path, Deployment::key, "running", 5000))
        return NotRun;
    const std::string strange = hasTrouble() ? job : std::string("00000000000000c3");
    site.client(1, "GET", "/queue-open/" + strange, "");
    site.client(1, "DELETE", "/queue-open/" + strange, "");
    sleepMs(9000);
    const std::string state = site.stateOf(0, path, Deployment::key);
    return conclude(state != "completed", "the job is shown to its tenant as " + state);
}

} // namespace Scene
