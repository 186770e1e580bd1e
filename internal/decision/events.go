// Package decision defines the structured log events that explain a box's behaviour: one
// typed event for each decision that affects a request or changes the box's view of the
// fleet. Times are in milliseconds.
package decision

import (
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
)

// Event is one log line.
type Event interface {
	zapcore.ObjectMarshaler
	// Name is the line's message.
	Name() string
	// Routine reports whether the event is logged for every successful request. Routine
	// events are dropped first when the line rate limit is exceeded.
	Routine() bool
}

// UpstreamPicked records which upstream a request is sent to and why.
type UpstreamPicked struct {
	Request  string
	Route    string
	Pool     string
	Version  int64
	AgeMs    clock.Millis
	Upstream string
	// SoftwareVersion is the version of the upstream's software, if known.
	SoftwareVersion string
	// Attempt counts from 1.
	Attempt int
	// Rank is the upstream's position in the order of preference, from 0.
	Rank int
	// Load is the estimated number of requests in flight at the upstream. MeanPercent is
	// the pool's mean load, in percent of one request.
	Load        int
	MeanPercent int
	// SkippedUpstream is the engine ranked first for the session, if another one was picked.
	// SkipReason is the reason.
	SkippedUpstream string
	SkipReason      string
	// FromReserve is set if the upstream is in an evacuated failure domain, because the others can't hold the load.
	FromReserve bool
	// Permit is who decided that the load bound allows the request, or "" if no owner is asked. Bound is the bound that
	// was asked for, OwnBound that of this box's estimate, and Refusals the number of owners that refused before.
	Permit                    string
	Bound, OwnBound, Refusals int
	// FetchFrom is the engine from which to fetch cached prefixes.
	FetchFrom string
	// PrefillTokens is the estimated number of tokens of shared prefixes that the engine has
	// to process itself. PrefillReason is the reason why no engine's cached copy can be used.
	PrefillTokens int
	PrefillReason string
	// ResumeAfter is the last event that the caller has received, on a resumed stream.
	ResumeAfter string
	// Resumes is the request that began the stream, if the caller takes up a stream with this one.
	Resumes string
}

// Name implements Event.
func (UpstreamPicked) Name() string { return "upstream picked" }

// Routine implements Event.
func (e UpstreamPicked) Routine() bool { return e.Attempt == 1 }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e UpstreamPicked) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	o.AddString("route", e.Route)
	o.AddString("pool", e.Pool)
	o.AddInt64("version", e.Version)
	o.AddInt64("version_age_ms", int64(e.AgeMs))
	o.AddString("upstream", e.Upstream)
	addIfSet(o, "software_version", e.SoftwareVersion)
	o.AddInt("attempt", e.Attempt)
	o.AddInt("rank", e.Rank)
	o.AddInt("load", e.Load)
	o.AddInt("mean_load_percent", e.MeanPercent)
	addIfSet(o, "passed_over", e.SkippedUpstream)
	addIfSet(o, "passed_why", e.SkipReason)
	if e.FromReserve {
		o.AddBool("reserve", true)
	}
	if e.Permit != "" {
		o.AddString("permit", e.Permit)
		o.AddInt("bound", e.Bound)
		o.AddInt("own_bound", e.OwnBound)
		o.AddInt("permit_refusals", e.Refusals)
	}
	addIfSet(o, "fetch_from", e.FetchFrom)
	if e.PrefillTokens > 0 {
		o.AddInt("read_tokens", e.PrefillTokens)
		o.AddString("read_why", e.PrefillReason)
	}
	addIfSet(o, "resume_after", e.ResumeAfter)
	addIfSet(o, "resumes", e.Resumes)
	return nil
}

// RequestForwarded records that a request is forwarded to another box, because this one can't reach the
// upstreams.
type RequestForwarded struct {
	Request string
	Route   string
	Pool    string
	// Box is the other box.
	Box string
	// Attempt counts from 1, including the attempts at upstreams.
	Attempt int
	// Sent is how many upstreams may have received the request before.
	Sent int
	// ResumeAfter is the last event that the caller has received, on a resumed stream.
	ResumeAfter string
	// UnreachableMs is for how long the upstreams of the pool have been known to be unreachable.
	UnreachableMs clock.Millis
}

// Name implements Event.
func (RequestForwarded) Name() string { return "request forwarded" }

// Routine implements Event.
func (e RequestForwarded) Routine() bool { return e.Attempt == 1 }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e RequestForwarded) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	o.AddString("route", e.Route)
	o.AddString("pool", e.Pool)
	o.AddString("to_box", e.Box)
	o.AddInt("attempt", e.Attempt)
	o.AddInt("sent", e.Sent)
	addIfSet(o, "resume_after", e.ResumeAfter)
	o.AddInt64("unreachable_ms", int64(e.UnreachableMs))
	return nil
}

// StreamTakenUp records how a box found out which software version began a stream that a caller takes up.
type StreamTakenUp struct {
	Request string
	// Resumes is the request that began the stream, and After the last event that the caller has received.
	Resumes string
	After   string
	Pool    string
	// SoftwareVersion is the version at which the stream goes on, if upstreams of the route run it.
	SoftwareVersion string
	// Known is set if this box had a record of the stream, and Unknown if nobody can tell its version.
	Known, Unknown bool
	// Answers is how many other boxes answered, and AllDomains is set if those of all failure domains did.
	Answers    int
	AllDomains bool
	// OneVersion is set if this box knows of one version only, and Fresh if it knew all upstreams a moment ago.
	OneVersion, Fresh bool
	// Complete is set if this box or one that answered has known the upstreams for as long as streams can be taken up.
	Complete bool
	// RunningMs is how long this box has been running.
	RunningMs clock.Millis
	TookMs    clock.Millis
}

// Name implements Event.
func (StreamTakenUp) Name() string { return "stream taken up" }

// Routine implements Event.
func (StreamTakenUp) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e StreamTakenUp) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	o.AddString("resumes", e.Resumes)
	addIfSet(o, "resume_after", e.After)
	o.AddString("pool", e.Pool)
	addIfSet(o, "software_version", e.SoftwareVersion)
	o.AddBool("own_record", e.Known)
	o.AddBool("unknown", e.Unknown)
	if !e.Known {
		o.AddInt("answers", e.Answers)
		o.AddBool("all_domains", e.AllDomains)
		o.AddBool("one_version", e.OneVersion)
		o.AddBool("fresh", e.Fresh)
		o.AddBool("complete", e.Complete)
		o.AddInt64("running_ms", int64(e.RunningMs))
	}
	o.AddInt64("took_ms", int64(e.TookMs))
	return nil
}

// AttemptFailed records an attempt that produced no response for the caller.
type AttemptFailed struct {
	Request string
	// Fingerprint identifies the content of the request, independent of its id.
	Fingerprint string
	Upstream    string
	Attempt     int
	// Proof states what is known about the execution of the request at the upstream.
	Proof string
	// Status is the HTTP status of the upstream's response, or 0.
	Status int
	// Framing is how the end of the upstream's response is marked; empty if none has arrived.
	Framing string
	Err     string
	// Events is the number of events of the stream that the caller has, and LastEventID the ID of the last one.
	Events      int
	LastEventID string
	// Next is the next step: another attempt, or the reason why there is none.
	Next string
	// BackoffMs is the backoff that the upstream asked of this box, or 0.
	BackoffMs clock.Millis
	// Draining is set when the upstream announced that it is draining.
	Draining bool
	TookMs   clock.Millis
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
	addIfSet(o, "framing", e.Framing)
	addIfSet(o, "error", e.Err)
	addEvents(o, e.Events, e.LastEventID)
	o.AddString("next", e.Next)
	if e.BackoffMs > 0 {
		o.AddInt64("asked_rest_ms", int64(e.BackoffMs))
	}
	if e.Draining {
		o.AddBool("leaving", true)
	}
	o.AddInt64("took_ms", int64(e.TookMs))
	return nil
}

// RequestEnded records the outcome of a request.
type RequestEnded struct {
	Request string
	// Fingerprint identifies the content of the request; it is empty if the body was not read.
	Fingerprint string
	// Part is the key of the prompt's part for which the request was refused, or which it tried after a quarantine.
	Part         string
	Route        string
	Organisation string
	Upstream     string
	// Resumes is the request that began the stream, if the caller takes up a stream with this one.
	Resumes string
	Version int64
	AgeMs   clock.Millis
	Status  int
	// Framing is how the end of the upstream's last response is marked; empty if none has arrived.
	Framing string
	// End is the check by which the upstream's response was taken for complete; empty if it was not.
	End string
	// Events is the number of events of a stream that the caller has, and LastEventID the ID of the last one.
	Events      int
	LastEventID string
	// Cause is set when the router generated the response or the response was cut off.
	Cause string
	Err   string
	// FromBox is the box that forwarded the request, if any.
	FromBox string
	// Attempts is the number of failed attempts, and Sent how many upstreams may have received the request.
	Attempts, Sent int
	Bytes          int64
	// WaitedMs is how long the request waited to be admitted to an engine.
	WaitedMs clock.Millis
	TookMs   clock.Millis
	// Timed is set if the response was sent and has a deadline. LeadMs is by how much it was sent before that,
	// RoundTripMs the measured round trip to the caller, if any, and LatenessMs by how much the box was late lately.
	Timed                           bool
	LeadMs, RoundTripMs, LatenessMs clock.Millis
}

// Name implements Event.
func (RequestEnded) Name() string { return "request ended" }

// Routine implements Event.
func (e RequestEnded) Routine() bool { return e.Cause == "" }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e RequestEnded) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	addIfSet(o, "fingerprint", e.Fingerprint)
	addIfSet(o, "part", e.Part)
	addIfSet(o, "route", e.Route)
	addIfSet(o, "organisation", e.Organisation)
	addIfSet(o, "upstream", e.Upstream)
	addIfSet(o, "resumes", e.Resumes)
	o.AddInt64("version", e.Version)
	o.AddInt64("version_age_ms", int64(e.AgeMs))
	o.AddInt("status", e.Status)
	addIfSet(o, "framing", e.Framing)
	addIfSet(o, "end", e.End)
	addEvents(o, e.Events, e.LastEventID)
	addIfSet(o, "cause", e.Cause)
	addIfSet(o, "error", e.Err)
	addIfSet(o, "from_box", e.FromBox)
	o.AddInt("attempts", e.Attempts)
	if e.Sent > 0 {
		o.AddInt("sent", e.Sent)
	}
	o.AddInt64("bytes", e.Bytes)
	if e.WaitedMs > 0 {
		o.AddInt64("waited_ms", int64(e.WaitedMs))
	}
	o.AddInt64("took_ms", int64(e.TookMs))
	if e.Timed {
		o.AddInt64("deadline_lead_ms", int64(e.LeadMs))
		o.AddInt64("round_trip_ms", int64(e.RoundTripMs))
		o.AddInt64("lateness_ms", int64(e.LatenessMs))
	}
	return nil
}

func addEvents(o zapcore.ObjectEncoder, events int, lastID string) {
	if events > 0 {
		o.AddInt("events", events)
	}
	addIfSet(o, "last_event_id", lastID)
}

func addIfSet(o zapcore.ObjectEncoder, key, value string) {
	if value != "" {
		o.AddString(key, value)
	}
}
