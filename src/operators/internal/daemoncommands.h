#pragma once

namespace clementinesill::operators {

class Invocation;

// Commands that ask the daemons' admin endpoints. Each prints what the daemons that answered told, then throws Error if
// one did not answer.
void runFlows(Invocation& invocation);
void runExplain(Invocation& invocation);
void runHistogram(Invocation& invocation);

} // namespace clementinesill::operators
