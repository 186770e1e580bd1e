// Package secret manages the bearer keys that listeners require. A key file holds
// one key per line and is reloaded when it changes, so keys are rotated without a
// restart: add the new key as the second line everywhere, then move it to the
// first line, then remove the old key.
package secret

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"dooryard.example/dooryard/internal/clock"
)

// ErrNoKey is returned for a key file that is empty or contains a short key.
var ErrNoKey = errors.New("key file holds no usable key")

// minKeyBytes is the minimum length of a key, which keeps out guessable keys.
const minKeyBytes = 16

// checkIntervalMs is the minimum time between two checks of a key file.
const checkIntervalMs = clock.Second

// Keys holds the keys of one file. It is safe for concurrent use.
type Keys struct {
	path string
	now  func() clock.Millis

	mu        sync.Mutex
	keys      []string
	modTime   time.Time
	checkedMs clock.Millis
}

// Load loads a key file. The function now returns the current time.
func Load(path string, now func() clock.Millis) (*Keys, error) {
	k := &Keys{path: path, now: now}
	if err := k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

// Fixed returns keys that are not loaded from a file.
func Fixed(keys ...string) *Keys { return &Keys{keys: keys} }

func (k *Keys) load() error {
	data, err := os.ReadFile(k.path)
	if err != nil {
		return fmt.Errorf("key file: %w", err)
	}
	info, err := os.Stat(k.path)
	if err != nil {
		return fmt.Errorf("key file: %w", err)
	}
	keys := strings.Fields(string(data))
	if len(keys) == 0 {
		return fmt.Errorf("%w: %s", ErrNoKey, k.path)
	}
	for i, key := range keys {
		if len(key) < minKeyBytes {
			return fmt.Errorf("%w: %s: key %d is shorter than %d bytes", ErrNoKey, k.path, i+1, minKeyBytes)
		}
	}
	k.keys = keys
	k.modTime = info.ModTime()
	return nil
}

// refresh reloads the file if it has changed. If the file cannot be loaded, the
// previous keys stay in use.
func (k *Keys) refresh() {
	if k.path == "" || k.now() < k.checkedMs+checkIntervalMs {
		return
	}
	k.checkedMs = k.now()
	info, err := os.Stat(k.path)
	if err != nil || info.ModTime().Equal(k.modTime) {
		return
	}
	_ = k.load()
}

// Current returns the key that this process sends, which is the first of the file.
func (k *Keys) Current() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return k.keys[0]
}

// All returns all keys that are accepted.
func (k *Keys) All() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return append([]string(nil), k.keys...)
}

// Accept reports whether a key is among the accepted keys. Each comparison takes
// constant time.
func (k *Keys) Accept(key string) bool {
	accepted := 0
	for _, known := range k.All() {
		accepted |= subtle.ConstantTimeCompare([]byte(known), []byte(key))
	}
	return accepted == 1
}
