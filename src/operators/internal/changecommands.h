#pragma once

namespace clementinesill::operators {

class Invocation;

// Commands that check or change the configuration. Each throws Error on failure.
void runCheck(Invocation& invocation);
void runApply(Invocation& invocation);
void runZone(Invocation& invocation);
void runDrain(Invocation& invocation);

} // namespace clementinesill::operators
