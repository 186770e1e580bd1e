// Package decision holds the log lines that explain a box: one typed event for
// each decision that touches a request or changes what the box believes. This
// file is the list of them; times are in milliseconds.
package decision

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/position"
)

// Event is one log line.
type Event interface {
	zapcore.ObjectMarshaler
	// Name is the line's message.
	Name() string
	// Routine events are told of each request that goes well. They are dropped
	// first when there are too many lines.
	Routine() bool
}

// Picked tells which upstream a request is sent to and why.
type Picked struct {
	Request  string
	Route    string
	Pool     string
	Version  int64
	AgeMs    clock.Millis
	Upstream string
	// Attempt counts from 1.
	Attempt int
	// Rank is the upstream's place in the order of preference, from 0.
	Rank int
	// Load is how many requests the upstream was thought to hold, MeanPercent
	// the pool's mean in percent of a request.
	Load        int
	MeanPercent int
	// PassedOver is the engine that comes first for the session, if another one was
	// taken, and PassedWhy says why.
	PassedOver string
	PassedWhy  string
	// FetchFrom is the engine to take cached parts from.
	FetchFrom string
	// ReadTokens is how many tokens of shared parts the engine likely reads, ReadWhy why
	// no engine's copy serves.
	ReadTokens int
	ReadWhy    string
	// ResumeAfter is the last event that the caller has, on a resumed stream.
	ResumeAfter string
}

// Name implements Event.
func (Picked) Name() string { return "upstream picked" }

// Routine implements Event.
func (e Picked) Routine() bool { return e.Attempt == 1 }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Picked) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	o.AddString("route", e.Route)
	o.AddString("pool", e.Pool)
	o.AddInt64("version", e.Version)
	o.AddInt64("version_age_ms", int64(e.AgeMs))
	o.AddString("upstream", e.Upstream)
	o.AddInt("attempt", e.Attempt)
	o.AddInt("rank", e.Rank)
	o.AddInt("load", e.Load)
	o.AddInt("mean_load_percent", e.MeanPercent)
	addIfSet(o, "passed_over", e.PassedOver)
	addIfSet(o, "passed_why", e.PassedWhy)
	addIfSet(o, "fetch_from", e.FetchFrom)
	if e.ReadTokens > 0 {
		o.AddInt("read_tokens", e.ReadTokens)
		o.AddString("read_why", e.ReadWhy)
	}
	addIfSet(o, "resume_after", e.ResumeAfter)
	return nil
}

// AttemptFailed tells how an attempt ended that did not answer the caller.
type AttemptFailed struct {
	Request string
	// Fingerprint stands for what the request asks, under whatever id.
	Fingerprint string
	Upstream    string
	Attempt     int
	// Proof is what is known of the request at the upstream.
	Proof string
	// Status is the upstream's, or 0.
	Status int
	Err    string
	// Next says what is done now: another attempt, or why there is none.
	Next string
	// AskedRestMs is for how long the upstream wants no request from this box, or 0.
	AskedRestMs clock.Millis
	// Leaving is set when the upstream said that it is about to end.
	Leaving bool
	TookMs  clock.Millis
}

// Name implements Event.
func (AttemptFailed) Name() string { return "attempt failed" }

// Routine implements Event.
func (AttemptFailed) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e AttemptFailed) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	o.AddString("fingerprint", e.Fingerprint)
	o.AddString("upstream", e.Upstream)
	o.AddInt("attempt", e.Attempt)
	o.AddString("proof", e.Proof)
	if e.Status != 0 {
		o.AddInt("upstream_status", e.Status)
	}
	addIfSet(o, "error", e.Err)
	o.AddString("next", e.Next)
	if e.AskedRestMs > 0 {
		o.AddInt64("asked_rest_ms", int64(e.AskedRestMs))
	}
	if e.Leaving {
		o.AddBool("leaving", true)
	}
	o.AddInt64("took_ms", int64(e.TookMs))
	return nil
}

// Ended tells how a request ended.
type Ended struct {
	Request string
	// Fingerprint stands for what the request asks, or is empty if its body was not read.
	Fingerprint  string
	Route        string
	Organisation string
	Upstream     string
	Version      int64
	AgeMs        clock.Millis
	Status       int
	// Cause is set when the answer is the router's own or was cut off.
	Cause    string
	Err      string
	Attempts int
	Bytes    int64
	TookMs   clock.Millis
}

// Name implements Event.
func (Ended) Name() string { return "request ended" }

// Routine implements Event.
func (e Ended) Routine() bool { return e.Cause == "" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Ended) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	addIfSet(o, "fingerprint", e.Fingerprint)
	addIfSet(o, "route", e.Route)
	addIfSet(o, "organisation", e.Organisation)
	addIfSet(o, "upstream", e.Upstream)
	o.AddInt64("version", e.Version)
	o.AddInt64("version_age_ms", int64(e.AgeMs))
	o.AddInt("status", e.Status)
	addIfSet(o, "cause", e.Cause)
	addIfSet(o, "error", e.Err)
	o.AddInt("attempts", e.Attempts)
	o.AddInt64("bytes", e.Bytes)
	o.AddInt64("took_ms", int64(e.TookMs))
	return nil
}

// Process tells of the process's own life: start, stop, reload.
type Process struct {
	What string
	Note string
}

// Name implements Event.
func (e Process) Name() string { return e.What }

// Routine implements Event.
func (Process) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Process) MarshalLogObject(o zapcore.ObjectEncoder) error {
	addIfSet(o, "note", e.Note)
	return nil
}

// Dependency tells that something the box depends on was lost or is back.
type Dependency struct {
	// Dependency is "store" or "way to a failure domain".
	Dependency string
	ID         string
	Lost       bool
	Err        string
	// AwayMs is how long it was away, once it is back.
	AwayMs clock.Millis
}

// Name implements Event.
func (e Dependency) Name() string {
	if e.Lost {
		return "dependency lost"
	}
	return "dependency back"
}

// Routine implements Event.
func (Dependency) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Dependency) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("dependency", e.Dependency)
	addIfSet(o, "id", e.ID)
	addIfSet(o, "error", e.Err)
	if !e.Lost {
		o.AddInt64("away_ms", int64(e.AwayMs))
	}
	return nil
}

// StoreRestored tells that the store has come back from an older copy: what was written there
// since is lost until it is written again.
type StoreRestored struct {
	// Before and Era are the eras before and now.
	Before, Era int64
	// Source is who told it.
	Source string
	// Position is the newest of the upstreams' records that the box knew then, and Version that
	// of the routing state in force.
	Position position.Position
	Version  int64
}

// Name implements Event.
func (StoreRestored) Name() string { return "store restored" }

// Routine implements Event.
func (StoreRestored) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e StoreRestored) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddInt64("era_before", e.Before)
	o.AddInt64("era", e.Era)
	o.AddString("source", e.Source)
	o.AddString("position", e.Position.String())
	o.AddInt64("version", e.Version)
	return nil
}

// StateAdopted tells that a newer routing state is in force.
type StateAdopted struct {
	Version int64
	Source  string
	Routes  int
}

// Name implements Event.
func (StateAdopted) Name() string { return "routing state adopted" }

// Routine implements Event.
func (StateAdopted) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e StateAdopted) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddInt64("version", e.Version)
	o.AddString("source", e.Source)
	o.AddInt("routes", e.Routes)
	return nil
}

// UpstreamChanged tells what was learnt of an upstream.
type UpstreamChanged struct {
	Upstream string
	Pool     string
	Address  string
	// State is "joined", "draining" or "gone".
	State  string
	Source string
}

// Name implements Event.
func (UpstreamChanged) Name() string { return "upstream changed" }

// Routine implements Event.
func (UpstreamChanged) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamChanged) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("upstream", e.Upstream)
	addIfSet(o, "pool", e.Pool)
	addIfSet(o, "address", e.Address)
	o.AddString("state", e.State)
	addIfSet(o, "source", e.Source)
	return nil
}

// UpstreamAsked tells what an upstream first said of itself in an answer: that it wants rest
// from this box, or that it leaves.
type UpstreamAsked struct {
	Upstream string
	Pool     string
	// RestMs is for how long it wants no request, or 0 if it leaves.
	RestMs clock.Millis
	// AnswerTo is the request in whose answer it said so.
	AnswerTo string
}

// Name implements Event.
func (e UpstreamAsked) Name() string {
	if e.RestMs > 0 {
		return "upstream asks for rest"
	}
	return "upstream says it leaves"
}

// Routine implements Event.
func (UpstreamAsked) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamAsked) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("upstream", e.Upstream)
	o.AddString("pool", e.Pool)
	if e.RestMs > 0 {
		o.AddInt64("rest_ms", int64(e.RestMs))
	}
	o.AddString("answer_to", e.AnswerTo)
	return nil
}

// UpstreamEnded tells that connections to an upstream broke and its host refuses new ones.
type UpstreamEnded struct {
	Upstream string
	// Fingerprints are what the requests asked whose connections broke, as far as this box
	// had any there.
	Fingerprints []string
}

// Name implements Event.
func (UpstreamEnded) Name() string { return "upstream ended" }

// Routine implements Event.
func (UpstreamEnded) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamEnded) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("upstream", e.Upstream)
	zap.Strings("fingerprints", e.Fingerprints).AddTo(o)
	return nil
}

// Quarantined tells that requests with a fingerprint are quarantined from now on, or no longer.
type Quarantined struct {
	Fingerprint string
	// Upstreams is how many ended under it.
	Upstreams int
	// HoldMs is for how long, or 0 when it is let go since an upstream answered it.
	HoldMs clock.Millis
	// Source is who told: this box, another one or the store.
	Source string
}

// Name implements Event.
func (e Quarantined) Name() string {
	if e.HoldMs > 0 {
		return "request quarantined"
	}
	return "request released"
}

// Routine implements Event.
func (Quarantined) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Quarantined) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("fingerprint", e.Fingerprint)
	o.AddString("source", e.Source)
	if e.HoldMs > 0 {
		o.AddInt("upstreams_ended", e.Upstreams)
		o.AddInt64("hold_ms", int64(e.HoldMs))
	}
	return nil
}

// InputIgnored tells of an input that could not be used, and why.
type InputIgnored struct {
	Input string
	Err   string
}

// Name implements Event.
func (InputIgnored) Name() string { return "input ignored" }

// Routine implements Event.
func (InputIgnored) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e InputIgnored) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("input", e.Input)
	o.AddString("error", e.Err)
	return nil
}

// Dropped tells how many lines were dropped since the last such line.
type Dropped struct {
	Lines int64
	// Routine is how many of them were told of requests that went well.
	RoutineLines int64
}

// Name implements Event.
func (Dropped) Name() string { return "lines dropped" }

// Routine implements Event.
func (Dropped) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Dropped) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddInt64("lines", e.Lines)
	o.AddInt64("routine_lines", e.RoutineLines)
	return nil
}

func addIfSet(o zapcore.ObjectEncoder, key, value string) {
	if value != "" {
		o.AddString(key, value)
	}
}
