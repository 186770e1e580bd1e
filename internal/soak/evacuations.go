package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// injectEvacuations evacuates zones, one after the other and sometimes two at a time, until ctx ends. Evacuations have
// their own schedule beside the other faults, so that each can coincide with any fault.
func (f *fleet) injectEvacuations(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 5))
	for ctx.Err() == nil {
		first := random.IntN(domainCount)
		zones := []string{zoneName(first)}
		if random.IntN(3) == 0 && !f.settings.Load {
			zones = append(zones, zoneName((first+1)%domainCount))
		}
		ends := []func(){}
		for _, zone := range zones {
			ends = append(ends, f.evacuate(zone))
		}
		// A zone stays evacuated for longer than boxes may send work there.
		sleep(ctx, drainSpan+time.Duration(random.IntN(faultRangeMs))*time.Millisecond)
		for _, end := range ends {
			end()
		}
		sleep(ctx, time.Duration(minDelayMs+random.IntN(faultGapMs))*time.Millisecond)
	}
}

// evacuate evacuates a zone. The returned function ends the evacuation.
func (f *fleet) evacuate(zone string) (end func()) {
	f.setEvacuated(zone, true)
	endEvacuation := f.history.recordEvacuation(zone)
	return func() {
		endEvacuation()
		f.setEvacuated(zone, false)
	}
}

// setEvacuated writes to the store whether a zone is evacuated.
func (f *fleet) setEvacuated(zone string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated[zone] = evacuated
	f.store.SetEvacuated(zone, evacuated)
}

// rewriteEvacuations writes again which zones are evacuated, as operators do after the store lost it.
func (f *fleet) rewriteEvacuations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for zone, evacuated := range f.evacuated {
		f.store.SetEvacuated(zone, evacuated)
	}
}
