package gatewaycmd

import (
	"bytes"
	"context"
	"errors"
	"os"
	"reflect"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/gateway"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/pkg/config"
)

// pollIntervalMs is how often the settings file is checked for changes, in addition to
// the checks on SIGHUP.
const pollIntervalMs = 2 * clock.Second

// watcher applies changes of the settings file to a running box.
type watcher struct {
	path  string
	clock clock.Clock
	// content is what was read last, nil before the first read.
	content []byte
	// loaded are the settings with which the box was started.
	loaded config.Gateway
	// useProcessors limits the processors and the threads of the process. It is nil if nothing limits them.
	useProcessors func(processors float64) error
	// tooFewThreads is the last error of useProcessors.
	tooFewThreads error
	// threadsNearLimit returns how many threads the process has and may have, if it may have few more, or else "". It is
	// nil if nothing limits them.
	threadsNearLimit func() string
}

// newWatcher returns a watcher of a file from which the settings were loaded.
func newWatcher(path string, loaded config.Gateway, c clock.Clock) *watcher {
	return &watcher{path: path, clock: c, loaded: loaded}
}

func (w *watcher) run(ctx context.Context, b *gateway.Box, reload <-chan struct{}) {
	ticks := make(chan struct{})
	go w.clock.Every(ctx, pollIntervalMs, func(clock.Millis) {
		select {
		case ticks <- struct{}{}:
		case <-ctx.Done():
		}
	})
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticks:
		}
		guard.Do("reload of settings", func() {
			w.reload(b)
			if w.tooFewThreads != nil {
				w.reserveThreads(b)
			}
			w.checkThreads(b)
		})
	}
}

// threadsMissing is the line of a process that has fewer threads than it may need.
const threadsMissing = "threads missing"

// reserveThreads applies the number of processors to the process, and records what changes.
func (w *watcher) reserveThreads(b *gateway.Box) {
	if w.useProcessors == nil {
		return
	}
	before := w.tooFewThreads
	w.tooFewThreads = w.useProcessors(b.Settings().Capacity.Processors)
	switch {
	case w.tooFewThreads == nil && before != nil:
		b.RecordProcess("threads reserved", "none are missing any more")
	case w.tooFewThreads != nil && (before == nil || w.tooFewThreads.Error() != before.Error()):
		b.RecordProcess(threadsMissing, w.tooFewThreads.Error())
	}
}

// checkThreads records that the process may have few more threads. The Go runtime ends it when it needs one that it
// can't have.
func (w *watcher) checkThreads(b *gateway.Box) {
	if w.threadsNearLimit == nil {
		return
	}
	if near := w.threadsNearLimit(); near != "" {
		b.RecordProcess("threads near limit", near)
	}
}

// reload reads the file and applies changed settings. If the file is unusable, the old
// settings stay active.
func (w *watcher) reload(b *gateway.Box) {
	content, err := os.ReadFile(w.path)
	if err != nil {
		b.ReportInvalidInput("settings file", err)
		return
	}
	if bytes.Equal(content, w.content) {
		return
	}
	first := w.content == nil
	w.content = content
	settings, changed, err := w.parse(first)
	if all := errors.Join(changed, err); all != nil {
		b.ReportInvalidInput("settings file", all)
	}
	if err != nil {
		return
	}
	if first && reflect.DeepEqual(settings, w.loaded) {
		return
	}
	b.Reload(settings)
	limitMemory(settings)
	w.reserveThreads(b)
}

// parse decodes what was read last. The first error tells what it has changed. The first read adapts settings as the
// start did, perhaps with a file that was not complete yet.
func (w *watcher) parse(first bool) (settings config.Gateway, changed, err error) {
	settings, changed, err = config.ParseKnown(w.path, w.content)
	if err == nil || !first {
		return settings, changed, err
	}
	adapted, changed, refused := config.AdaptGateway(w.path)
	if refused != nil {
		return settings, nil, err
	}
	return adapted, changed, nil
}
