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
	// readMs is when content was read first.
	readMs clock.Millis
	// used is set once the settings of content are active.
	used bool
	// loaded are the settings with which the box was started, nil once others are active.
	loaded *config.Gateway
}

// newWatcher returns a watcher of a file from which the settings were loaded.
func newWatcher(path string, loaded config.Gateway, c clock.Clock) *watcher {
	return &watcher{path: path, clock: c, loaded: &loaded}
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

// reload reads the file and applies changed settings. If the file is unusable, the old settings stay active.
func (w *watcher) reload(b *gateway.Box) {
	content, err := os.ReadFile(w.path)
	if err != nil {
		b.ReportInvalidInput("settings file", err)
		return
	}
	if !bytes.Equal(content, w.content) {
		w.content, w.readMs, w.used = content, w.clock.Monotonic(), false
	}
	if w.used {
		return
	}
	settings, err := w.parse()
	if err != nil {
		b.ReportInvalidInput("settings file", err)
	}
	if settings == nil {
		return
	}
	w.used = true
	if w.loaded != nil && reflect.DeepEqual(*settings, *w.loaded) {
		return
	}
	w.loaded = nil
	b.Reload(*settings)
	limitMemory(*settings)
}

// parse returns the settings of the content, and what is invalid in them. It returns none while the content is invalid
// and may be in the middle of being replaced, and if the box can't run with it.
func (w *watcher) parse() (*config.Gateway, error) {
	settings, err := config.ParseGateway(w.path, w.content)
	if err == nil {
		return &settings, nil
	}
	if w.clock.Monotonic()-w.readMs < pollIntervalMs {
		return nil, err
	}
	settings, changed, err := config.ParseAdaptedGateway(w.path, w.content)
	if err != nil {
		return nil, err
	}
	return &settings, changed
}
