// Package prompt describes prompts by the parts that callers name, and the messages in which boxes
// announce to each other which engines have parts cached.
package prompt

import "dooryard.example/dooryard/internal/namekey"

// Part is a part of a prompt. Leading parts are shared with other requests. An engine that has a
// part and all parts before it cached does not have to process them again.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is an ordered list of parts.
type Prompt []Part

// Session returns the ID of the part by which the request is routed: the last part that is shared
// with other requests, or the only part.
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

// Shared returns the parts that other requests may share, which are all but the last one.
func (p Prompt) Shared() Prompt {
	if len(p) < 2 {
		return nil
	}
	return p[:len(p)-1]
}

// KeyedPart is a part identified by the key of its ID.
type KeyedPart struct {
	Key    namekey.Key
	Tokens int
}

// KeyedParts returns the parts with the keys of their IDs.
func (p Prompt) KeyedParts() []KeyedPart {
	keyed := make([]KeyedPart, len(p))
	for i, part := range p {
		keyed[i] = KeyedPart{Key: namekey.Of(part.ID), Tokens: part.Tokens}
	}
	return keyed
}

// CachedPart states that an engine has a part of a prompt and all parts before it cached. It is only a
// hint: the engine may have evicted the part since, and two IDs may have the same key.
type CachedPart struct {
	_        struct{} `cbor:",toarray"`
	Part     namekey.Key
	Upstream namekey.Key
}
