package signals

/*
#include <signal.h>

// Runs before the Go runtime starts: until then, SIGHUP would end the process.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
