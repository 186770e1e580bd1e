// Package prompt holds what a request brings an engine to read, as the parts that
// its caller names, and what boxes tell each other of engines that keep them.
package prompt

import "dooryard.example/dooryard/internal/namekey"

// Part is one piece of a prompt. Parts that come first are shared with other
// requests; an engine that keeps a part and all before it need not read it again.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is a list of parts in order.
type Prompt []Part

// Session is the part that decides where the request goes: the last one that is
// shared with other requests.
func (p Prompt) Session() string {
	switch len(p) {
	case 0:
		return ""
	case 1:
		return p[0].ID
	default:
		return p[len(p)-2].ID
	}
}

// Shared returns the parts that other requests may share: all but the last.
func (p Prompt) Shared() Prompt {
	if len(p) < 2 {
		return nil
	}
	return p[:len(p)-1]
}

// Keyed is a part by its key.
type Keyed struct {
	Key    namekey.Key
	Tokens int
}

// Keyed returns the parts by their keys.
func (p Prompt) Keyed() []Keyed {
	keyed := make([]Keyed, len(p))
	for i, part := range p {
		keyed[i] = Keyed{Key: namekey.Of(part.ID), Tokens: part.Tokens}
	}
	return keyed
}

// Kept says that an engine keeps a part of a prompt and all parts before it. It is a
// hint: the engine may have dropped the part since, or two names have one key.
type Kept struct {
	_        struct{} `cbor:",toarray"`
	Part     namekey.Key
	Upstream namekey.Key
}
