#include "Scenes.h"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <string>

/// Plays one scene. Usage: scene NAME RECORD, in the root of the repository. Exit status: 0 the
/// rule held, 1 it was broken, 2 the scene couldn't run.
int main(int argc, char **argv)
{
    const std::map<std::string, Scene::Verdict (*)()> scenes = {
        {"late-start-of-former-leader", Scene::lateStartOfFormerLeader},
        {"late-start-in-next-process", Scene::lateStartInNextProcess},
        {"lasting-task-stays-away", Scene::lastingTaskStaysAway},
    };
    const auto scene = argc == 3 ? scenes.find(argv[1]) : scenes.end();
    if (scene == scenes.end()) {
        std::fprintf(stderr, "usage: scene NAME RECORD\n");
        return Scene::NotRun;
    }
    Scene::openRecord(argv[2]);
    Scene::Verdict verdict = Scene::NotRun;
    try {
        verdict = scene->second();
    } catch (const std::exception &error) {
        Scene::note(std::string("the scene couldn't run: ") + error.what());
    }
    Scene::Deployment::end();
    // The threads of the stand-ins still run.
    std::_Exit(verdict);
}
