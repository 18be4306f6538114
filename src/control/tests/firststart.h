#pragma once

// Set up before the replicas start, so a base of the group that is made of them.
struct FirstStart {
    // Whether this is the fleet's first start.
    bool firstStart = true;
};
