package streams

import "slices"

// View is what a box knows about the software versions of a pool.
type View struct {
	_ struct{} `cbor:",toarray"`
	// Sole is the only origin that the pool has had within WindowMs, as far as the box knows, or Unknown if there were
	// several or none.
	Sole OriginKey
	// Complete is set if the box has known the upstreams for WindowMs.
	Complete bool
	// Fresh is set if the box knows that it knew all upstreams a moment ago.
	Fresh bool
}

// Answer is what another box tells about a stream.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// Origin is the origin of the stream, or Unknown if the box has no record of it.
	Origin OriginKey
	View   View
}

// Inquiry is what this box and others know about a stream without a record of its own.
type Inquiry struct {
	Own     View
	Answers []Answer
	// AllDomains is set if a box of each failure domain has answered.
	AllDomains bool
}

// Complete reports whether this box or one that answered has known the upstreams for WindowMs.
func (i Inquiry) Complete() bool {
	return i.Own.Complete || slices.ContainsFunc(i.Answers, func(a Answer) bool { return a.View.Complete })
}

// Origin returns the origin of the stream, or Unknown. A box tells others of a stream unless one version has served
// for WindowMs. So a stream of which nobody knows has begun at that version, if nobody knows of another one and either
// a fresh view shows it or, while the store is away, boxes of all failure domains agree.
func (i Inquiry) Origin() OriginKey {
	freshAndComplete := i.Own.Complete && i.Own.Fresh
	for _, a := range i.Answers {
		if a.Origin != Unknown {
			return a.Origin
		}
	}
	for _, a := range i.Answers {
		if a.View.Sole != i.Own.Sole {
			return Unknown
		}
		freshAndComplete = freshAndComplete || a.View.Complete && a.View.Fresh
	}
	if freshAndComplete || i.Complete() && i.AllDomains && len(i.Answers) > 0 {
		return i.Own.Sole
	}
	return Unknown
}
