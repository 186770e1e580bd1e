// Package admission decides, as the owner of an upstream, when prompts may be sent there. It counts the
// outstanding work at the upstream instead of requests only, and queues or denies prompts that can't be served in time.
//
// This answers loads of prompts above what engines can read or hold, for seconds or minutes.
package admission

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// ID identifies an ask: the box that made it, and a number that the box assigned.
type ID struct {
	Box    string
	Number uint32
}

// Ask is a box's question whether a prompt may be sent to an upstream.
type Ask struct {
	ID             ID
	Pool, Upstream namekey.Key
	// Organisation and Session are the flows between which the queue is fair.
	Organisation, Session namekey.Key
	// Urgency is the priority of the request; 0 is the most urgent.
	Urgency int
	// PrefillTokens are expected to be prefilled at this upstream.
	PrefillTokens int
	// OwnTokens is the memory of the request's own part and its output. SharedTokens is that of the parts that it shares
	// with other requests of its session, which the upstream holds once.
	OwnTokens, SharedTokens int
	// Slots and MemoryTokens are the capacity of the upstream, or 0 if it is unknown.
	Slots, MemoryTokens int
	// Bound is the load bound in requests, or 0 for none.
	Bound int
	// InTimeMs is the time left until the first event is late. It is 0 or less if it is late already.
	InTimeMs clock.Millis
	// PatienceMs is the time left until the caller gives up.
	PatienceMs clock.Millis
	// SlowPercent is how long work takes at the upstream in percent of the usual, or 0 if it is unknown.
	SlowPercent int
	// MayQueue is set if the box waits for a grant.
	MayQueue bool
	// Force is set if the request is sent whatever the load is, so that it is only counted.
	Force bool
}

// Verdict is an owner's decision on an ask.
type Verdict int

// Verdicts.
const (
	Denied Verdict = iota
	Granted
	Queued
	// Unanswered is the verdict if the owner keeps no more state. The box then gets no answer and decides by itself.
	Unanswered
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"denied", "granted", "queued", "unanswered"}[v] }

// Answer is the owner's answer to an ask.
type Answer struct {
	Verdict Verdict
	// StartInMs is the expected time to the first event if the request were sent or queued now.
	StartInMs clock.Millis
	// DrainMs is the time after which a request like a denied one can be granted.
	DrainMs clock.Millis
	// Late is set if the request was granted or queued although its first event is expected to be late. In a denial of
	// an ask without MayQueue, it is set if the request would be queued all the same.
	Late bool
	// SlowPercent is how long work takes at the upstream in percent of the usual, or 0 if it is usual or unknown.
	SlowPercent int
	// Provisional is set if the owner has counted for so short a time that requests of before may be missing.
	Provisional bool
}

// Grant is the later answer to a queued ask: Granted, or Denied if it can't be served any more.
type Grant struct {
	ID     ID
	Answer Answer
}

// Reply is what the asking box learns.
type Reply struct {
	Answer Answer
	// Unknown is set if no owner is known or none answered, so that the box decides by itself.
	Unknown bool
	// OwnerAgeMs is the time since the owner last answered if the reply is Unknown, or -1 if it never did.
	OwnerAgeMs clock.Millis
	// Count tells the owner of a prompt that is sent although the owner hasn't answered in time. It is nil if the reply
	// is not Unknown, or if no owner is known.
	Count func()
	// Started tells the owner of the first event. It is never nil.
	Started func()
	// Release ends the request or withdraws a queued ask. It is never nil.
	Release func(served bool)
}
