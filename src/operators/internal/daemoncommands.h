#pragma once

namespace clementinesill::operators {

class Invocation;

// Commands that query the daemons' admin endpoints. Each prints the results of the daemons that responded, then throws
// Error if a daemon did not respond.
void runFlows(Invocation& invocation);
void runExplain(Invocation& invocation);
void runExplainPlacement(Invocation& invocation);
void runHistogram(Invocation& invocation);

} // namespace clementinesill::operators
