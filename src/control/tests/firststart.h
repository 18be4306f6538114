#pragma once

// Base class of a group, so that it is initialised before the replicas start.
struct FirstStart {
    // Whether this is the fleet's first start.
    bool firstStart = true;
};
