#pragma once

namespace clementinesill::operators {

class Invocation;

// Applies a folder each time its files have changed, until the environment's shouldStop() returns true.
void runWatch(Invocation& invocation);

} // namespace clementinesill::operators
