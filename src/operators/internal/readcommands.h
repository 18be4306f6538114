#pragma once

namespace clementinesill::operators {

class Invocation;

// Commands that read the controllers' state. Each throws Error on failure.
void runStatus(Invocation& invocation);
void runServers(Invocation& invocation);
void runEvents(Invocation& invocation);

} // namespace clementinesill::operators
