package pace

import (
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// Finding tells other boxes that an upstream was found slow, or at its usual pace after it was slow, which boxes of
// earlier releases ignore. It takes at most 12 bytes.
type Finding struct {
	_        struct{} `cbor:",toarray"`
	Upstream namekey.Key
	Percent  uint16
	// AgeTens is the age of the finding in tens of milliseconds.
	AgeTens uint8
	// HoldSteps is how often the hold had doubled, so that the boxes together try the upstream once a hold.
	HoldSteps uint8
}

const (
	// maxFindingMs is the age up to which boxes tell others of a finding.
	maxFindingMs = clock.Second
	ageUnitMs    = 10
)

// NewFinding returns a finding of some age. It returns false if the finding is too old to tell, or not a slow pace.
func NewFinding(upstream namekey.Key, percent, holdSteps int, age clock.Millis) (Finding, bool) {
	if percent <= SlowPercent || age < 0 || age > maxFindingMs {
		return Finding{}, false
	}
	return Finding{
		Upstream: upstream, Percent: uint16(min(MaxPercent, percent)), AgeTens: uint8(age / ageUnitMs),
		HoldSteps: uint8(min(maxHoldSteps, holdSteps)),
	}, true
}

// NewUsualFinding returns the finding that an upstream is at its usual pace.
func NewUsualFinding(upstream namekey.Key) Finding {
	return Finding{Upstream: upstream, Percent: UsualPercent}
}

// AgeMs returns the age of the finding in milliseconds.
func (f Finding) AgeMs() clock.Millis { return clock.Millis(f.AgeTens) * ageUnitMs }

// Slow reports whether the upstream was found slow.
func (f Finding) Slow() bool { return int(f.Percent) > SlowPercent }

// Valid reports whether a received finding is a slow or the usual pace of a recent time.
func (f Finding) Valid() bool {
	return (f.Slow() || int(f.Percent) == UsualPercent) && f.AgeMs() <= maxFindingMs
}

// MaxFindings limits the findings that a datagram carries.
const MaxFindings = 16
