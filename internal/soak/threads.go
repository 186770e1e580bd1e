package soak

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// threadWaits returns for how long each thread of a process has been ready to run without running, by thread ID. A wait
// counts once it has ended.
func threadWaits(pid int) map[string]time.Duration {
	waits := map[string]time.Duration{}
	for thread, content := range readThreads(pid, "schedstat") {
		var ran, waited time.Duration
		if _, err := fmt.Sscan(content, &ran, &waited); err == nil {
			waits[thread] = waited
		}
	}
	return waits
}

// describeThreads tells the states of a process's threads, and the longest wait of one of them since earlier waits.
func describeThreads(pid int, before map[string]time.Duration) string {
	return fmt.Sprintf("threads: %s; one has waited %s for a processor since", threadStates(pid),
		longestWait(before, threadWaits(pid)).Round(time.Millisecond))
}

// threadStates counts the threads of a process by state: "R" runs or waits for a processor, "S" sleeps, and the first
// thread is "Z" once it has exited.
func threadStates(pid int) string {
	counts := map[string]int{}
	for _, content := range readThreads(pid, "stat") {
		if state := threadState(content); state != "" {
			counts[state]++
		}
	}
	list := []string{}
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%d %s", counts[state], state))
	}
	return strings.Join(list, ", ")
}

// threadState returns the state of a thread from its "stat" file, or "".
func threadState(content string) string {
	// The name of the thread, in parentheses, may contain any character.
	fields := strings.Fields(content[strings.LastIndex(content, ")")+1:])
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}

// readThreads returns the content of a file of each thread of a process, by thread ID.
func readThreads(pid int, name string) map[string]string {
	contents := map[string]string{}
	// The pattern is valid.
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/%s", pid, name))
	for _, file := range files {
		// A thread that has ended has no files.
		if content, err := os.ReadFile(file); err == nil {
			contents[filepath.Base(filepath.Dir(file))] = string(content)
		}
	}
	return contents
}

// longestWait returns how long the thread that waited longest between two calls of threadWaits did so.
func longestWait(before, after map[string]time.Duration) time.Duration {
	longest := time.Duration(0)
	for thread, waited := range after {
		longest = max(longest, waited-before[thread])
	}
	return longest
}

// ticksPerSecond is the unit of the processor times in the "stat" file of a process.
const ticksPerSecond = 100

// processorTime returns for how long all threads of a process have run.
func processorTime(pid int) time.Duration {
	// The errors leave a time of 0.
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	const userField = 11
	fields := strings.Fields(string(content[strings.LastIndex(string(content), ")")+1:]))
	if len(fields) <= userField+1 {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[userField+1])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// hasExited reports whether a process has exited, also if its end was not collected yet.
func hasExited(pid int) bool { return strings.Trim(threadStates(pid), "0123456789 Z") == "" }
