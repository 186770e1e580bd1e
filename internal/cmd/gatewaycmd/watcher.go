package gatewaycmd

import (
	"bytes"
	"context"
	"os"
	"reflect"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/gateway"
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
		w.reload(b)
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
	settings, err := config.ParseGateway(w.path, content)
	if err != nil {
		b.ReportInvalidInput("settings file", err)
		return
	}
	if first && reflect.DeepEqual(settings, w.loaded) {
		return
	}
	b.Reload(settings)
	limitMemory(settings)
}
