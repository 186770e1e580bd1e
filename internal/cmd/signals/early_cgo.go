//go:build cgo

package signals

/*
#include <signal.h>
#include <stddef.h>
#include <unistd.h>

static volatile sig_atomic_t terminated;

// Once the runtime has replaced the handler, it forwards SIGTERM only to end the process by the signal, because nobody
// receives it yet. Nothing is open then.
static void record_termination(int unused) {
	(void)unused;
	struct sigaction current;
	if (sigaction(SIGTERM, NULL, &current) == 0 && current.sa_handler != record_termination) {
		_exit(0);
	}
	terminated = 1;
}

static int was_terminated(void) { return terminated; }

// Runs before the Go runtime starts, and before constructors without a priority: until then, SIGHUP and SIGTERM would
// end the process. The runtime replaces the handler.
__attribute__((constructor(101))) static void handle_early(void) {
	struct sigaction action = {.sa_handler = record_termination, .sa_flags = SA_RESTART | SA_ONSTACK};
	signal(SIGHUP, SIG_IGN);
	sigemptyset(&action.sa_mask);
	sigaction(SIGTERM, &action, NULL);
}
*/
import "C"

// wasTerminated reports whether SIGTERM came before the Go runtime started.
func wasTerminated() bool { return C.was_terminated() != 0 }
