// Package namekey maps names to short hashes for messages that boxes exchange often.
package namekey

import "dooryard.example/dooryard/internal/route"

// Key is a 32-bit hash that represents a name: the ID of an upstream or of a part of a
// prompt. Collisions are rare, but users of keys must tolerate them.
type Key uint32

// Of returns the key of a name.
func Of(name string) Key { return Key(route.HashName(name)) }
