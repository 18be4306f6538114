#pragma once

// Base class of a group, so that it is initialized before the replicas start.
struct FirstStart {
    // Whether this is the fleet's first start.
    bool firstStart = true;
};
