#pragma once

#include "Scene.h"

namespace Scene {

Verdict cancelledWhileFrozen();
Verdict starvedBesideEmptyWorkers();
Verdict cancelledByStranger();
Verdict schedulesExceedMemory();
Verdict lateStartInNextProcess();
Verdict largeJobStopsHalfway();

} // namespace Scene
