// Package secret holds the keys that listeners ask for. Keys live in files, one
// a line, and are read again when the file changes, so that they are rotated
// without a restart: add the new key as a second line everywhere, then make it
// the first, then drop the old one.
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

// ErrNoKey means that a key file holds no key.
var ErrNoKey = errors.New("key file holds no key")

// minKeyBytes keeps guessable keys out.
const minKeyBytes = 16

// checkEveryMs is how often a file is looked at.
const checkEveryMs = clock.Second

// Keys are the keys of one file. They are safe for concurrent use.
type Keys struct {
	path string
	now  func() clock.Millis

	mu        sync.Mutex
	keys      []string
	modified  time.Time
	checkedMs clock.Millis
}

// Load reads a key file.
func Load(path string, now func() clock.Millis) (*Keys, error) {
	k := &Keys{path: path, now: now}
	if err := k.read(); err != nil {
		return nil, err
	}
	return k, nil
}

// Fixed returns keys that come from no file.
func Fixed(keys ...string) *Keys { return &Keys{keys: keys} }

func (k *Keys) read() error {
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
	k.modified = info.ModTime()
	return nil
}

// refresh reads the file again when it has changed. A file that can't be read
// leaves the old keys in force.
func (k *Keys) refresh() {
	if k.path == "" || k.now() < k.checkedMs+checkEveryMs {
		return
	}
	k.checkedMs = k.now()
	info, err := os.Stat(k.path)
	if err != nil || info.ModTime().Equal(k.modified) {
		return
	}
	_ = k.read()
}

// Current returns the key that this process sends.
func (k *Keys) Current() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return k.keys[0]
}

// All returns every key that is accepted.
func (k *Keys) All() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return append([]string(nil), k.keys...)
}

// Accept reports whether a key is one of them, in constant time for each.
func (k *Keys) Accept(key string) bool {
	accepted := 0
	for _, known := range k.All() {
		accepted |= subtle.ConstantTimeCompare([]byte(known), []byte(key))
	}
	return accepted == 1
}
