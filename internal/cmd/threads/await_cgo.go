//go:build cgo

package threads

/*
#define _GNU_SOURCE
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#define START_THREADS 8
#define MAX_THREADS 1024
#define STACK_BYTES (256 << 10) // at least PTHREAD_STACK_MIN on all architectures
#define LINE_BYTES 160
#define RETRY_NS 50000000
#define RETRIES 60

// The default is the stack limit, usually 8 MB, which counts against limits of address space and of data as a whole.
// The Go runtime uses these stacks for itself and for calls of C, not for goroutines.
#define RUNTIME_STACK_BYTES (512 << 10)

static pthread_mutex_t gate = PTHREAD_MUTEX_INITIALIZER;

static void *wait_at_gate(void *unused) {
	pthread_mutex_lock(&gate);
	pthread_mutex_unlock(&gate);
	return unused;
}

// Returns how many threads can run at once beside those of the process, and at most a number.
static int creatable(int most) {
	pthread_t created[MAX_THREADS];
	pthread_attr_t attributes;
	sigset_t all, before;
	int n = 0;
	if (most > MAX_THREADS) most = MAX_THREADS;
	if (pthread_attr_init(&attributes) != 0) return 0;
	pthread_attr_setstacksize(&attributes, STACK_BYTES);
	// These threads are unknown to the Go runtime and handle no signals.
	sigfillset(&all);
	pthread_sigmask(SIG_BLOCK, &all, &before);
	pthread_mutex_lock(&gate);
	while (n < most && pthread_create(&created[n], &attributes, wait_at_gate, NULL) == 0) n++;
	pthread_mutex_unlock(&gate);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	for (int i = 0; i < n; i++) pthread_join(created[i], NULL);
	pthread_attr_destroy(&attributes);
	return n;
}

// Writes how many threads can be created, unless standard error is not read.
static void say(int threads, const char *then) {
	char line[LINE_BYTES];
	struct rlimit limit = {0, 0};
	struct pollfd errors = {STDERR_FILENO, POLLOUT, 0};
	getrlimit(RLIMIT_NPROC, &limit);
	int n = snprintf(line, sizeof line,
		"dooryard: %d of %d threads can be created, limit of the user's threads %lld: %s\n",
		threads, START_THREADS, (long long)limit.rlim_cur, then);
	if (n > 0 && poll(&errors, 1, 0) == 1 && (errors.revents & POLLOUT)) n = write(STDERR_FILENO, line, n);
}

// Limits the stacks of the Go runtime's threads. After an error they have the default size.
static void limit_stacks(void) {
#ifdef __GLIBC__
	pthread_attr_t attributes;
	if (pthread_attr_init(&attributes) != 0) return;
	if (pthread_attr_setstacksize(&attributes, RUNTIME_STACK_BYTES) == 0) pthread_setattr_default_np(&attributes);
	pthread_attr_destroy(&attributes);
#endif
}

// Runs before the Go runtime starts, which ends the process when it can't create a thread.
__attribute__((constructor)) static void await_threads(void) {
	struct timespec pause = {0, RETRY_NS};
	limit_stacks();
	int threads = creatable(START_THREADS);
	if (threads == START_THREADS) return;
	say(threads, "retried for up to 3 s");
	for (int tries = 0; tries < RETRIES && threads < START_THREADS; tries++) {
		nanosleep(&pause, NULL);
		threads = creatable(START_THREADS);
	}
	if (threads < START_THREADS) say(threads, "the process starts with them, or ends");
}
*/
import "C"

// creatable returns how many threads can be created now, and at most a number.
func creatable(most int) int { return int(C.creatable(C.int(most))) }
