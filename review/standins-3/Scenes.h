#pragma once

#include "Scene.h"

namespace Scene {

Verdict lateStartOfFormerLeader();
Verdict lateStartInNextProcess();
Verdict lastingTaskStaysAway();

} // namespace Scene
