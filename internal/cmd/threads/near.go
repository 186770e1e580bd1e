package threads

import (
	"fmt"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/cmd/rlimit"
)

// fewThreads is how many threads the runtime may need at once, for calls of several threads.
const fewThreads = blockedThreads

// watch looks at the limit of the user's threads when the process has more threads than before. The calls of a look may
// need a thread themselves.
type watch struct{ highest int }

// nearLimit returns a text if the process has more threads than before, and the limit leaves few.
func (w *watch) nearLimit(count int, left func() (more int, limited bool)) string {
	if count <= w.highest {
		return ""
	}
	w.highest = count
	more, limited := left()
	if !limited || more >= fewThreads {
		return ""
	}
	return fmt.Sprintf("%d threads, %d more may be created, limit of the user's threads %s",
		count, more, rlimit.Text(unix.RLIMIT_NPROC))
}
