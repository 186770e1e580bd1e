package signals

/*
#include <signal.h>

// Runs before the Go runtime starts, and before constructors without a priority: until then, SIGHUP would end the
// process.
__attribute__((constructor(101))) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
