//go:build cgo

package threads

/*
#cgo LDFLAGS: -Wl,--wrap=pthread_create
#define _GNU_SOURCE
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#define START_THREADS 8
#define MAX_THREADS 1024
#define STACK_BYTES (256 << 10) // at least PTHREAD_STACK_MIN on all architectures
#define LINE_BYTES 256
#define TIME_BYTES 32
#define RETRY_NS 50000000
#define RETRIES 60

// The default is the stack limit, usually 8 MB, which counts against limits of address space and of data as a whole.
// The Go runtime uses these stacks for itself and for calls of C, not for goroutines.
#define RUNTIME_STACK_BYTES (512 << 10)

int __real_pthread_create(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);

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
	while (n < most && __real_pthread_create(&created[n], &attributes, wait_at_gate, NULL) == 0) n++;
	pthread_mutex_unlock(&gate);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	for (int i = 0; i < n; i++) pthread_join(created[i], NULL);
	pthread_attr_destroy(&attributes);
	return n;
}

static intmax_t user_limit(void) {
	struct rlimit limit = {0, 0};
	getrlimit(RLIMIT_NPROC, &limit);
	return limit.rlim_cur;
}

// Writes a line unless the stream is not read.
static void write_line(int stream, const char *line, int n) {
	struct pollfd one = {stream, POLLOUT, 0};
	if (n > 0 && n < LINE_BYTES && poll(&one, 1, 0) == 1 && (one.revents & POLLOUT)) n = write(stream, line, n);
}

// Writes how many threads can be created.
static void say(int threads, const char *then) {
	char line[LINE_BYTES];
	int n = snprintf(line, sizeof line,
		"dooryard: %d of %d threads can be created, limit of the user's threads %jd: %s\n",
		threads, START_THREADS, user_limit(), then);
	write_line(STDERR_FILENO, line, n);
}

// Writes that the runtime gets no thread, to standard error and as a line of the log. The runtime may not be able to
// write it, as the thread that runs Go code waits for the new one.
static void say_missing(const char *what, const char *then) {
	char line[LINE_BYTES], time_text[TIME_BYTES] = "";
	struct timespec now = {0, 0};
	struct tm utc;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	strftime(time_text, sizeof time_text, "%Y-%m-%dT%H:%M:%S", &utc);
	int n = snprintf(line, sizeof line,
		"dooryard: threads missing: %s, limit of the user's threads %jd: %s\n", what, user_limit(), then);
	write_line(STDERR_FILENO, line, n);
	n = snprintf(line, sizeof line,
		"{\"level\":\"warn\",\"time\":\"%s.%03ldZ\",\"msg\":\"threads missing\","
		"\"note\":\"%s, limit of the user's threads %jd: %s\"}\n",
		time_text, now.tv_nsec / 1000000, what, user_limit(), then);
	write_line(STDOUT_FILENO, line, n);
}

static pthread_mutex_t missing = PTHREAD_MUTEX_INITIALIZER;

// Waits for a thread where the runtime, which needs one more, would end the process after 0.2 s without one. It repeats
// calls that fail, so that the wait as a whole is limited, not that of each call.
int __wrap_pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*run)(void *), void *argument) {
	static int tries;
	struct timespec pause = {0, RETRY_NS};
	int error = __real_pthread_create(thread, attributes, run, argument);
	if (error == 0) __atomic_store_n(&tries, 0, __ATOMIC_RELAXED);
	if (error != EAGAIN) return error;
	pthread_mutex_lock(&missing);
	int said = __atomic_load_n(&tries, __ATOMIC_RELAXED) < RETRIES;
	if (said) say_missing("none can be created", "retried for up to 3 s");
	while (error == EAGAIN && __atomic_fetch_add(&tries, 1, __ATOMIC_RELAXED) < RETRIES) {
		nanosleep(&pause, NULL);
		error = __real_pthread_create(thread, attributes, run, argument);
	}
	if (error == 0) {
		__atomic_store_n(&tries, 0, __ATOMIC_RELAXED);
		say_missing("one was created", "the process goes on");
	} else if (said) {
		say_missing("none can be created", "the process ends");
	}
	pthread_mutex_unlock(&missing);
	return error;
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
