// Package namekey shortens names in what boxes tell each other often.
package namekey

import "dooryard.example/dooryard/internal/route"

// Key stands for a name: the ID of an upstream or of a part of a prompt. Two names with
// one key are rare; whoever uses keys must bear that.
type Key uint32

// Of returns a name's key.
func Of(name string) Key { return Key(route.HashName(name)) }
