package mesh

import (
	"maps"
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// An owner counts a granted request for 20 s, which bounds the effect of a lost release. Requests that run for longer
// are renewed by the box that sent them. A lost renewal is made up for by the next one. A box that has died sends none,
// and an owner ignores renewals of requests that it doesn't count.

// renewalIntervalMs is the least interval between renewals. With a round of at most 1 s more, it is half of the time
// for which an owner counts a request, so that one lost renewal does no harm.
const renewalIntervalMs = 9 * clock.Second

// recordSend records that a request may run from now on.
func (r *admissionRequests) recordSend(number uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.open[number]; q != nil {
		q.sent = true
	}
}

// dueRenewals returns the numbers of the requests that run, by the address of their owner, or none if owners were told
// of them within renewalIntervalMs.
func (r *admissionRequests) dueRenewals(now clock.Millis) map[string][]uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.renewedMs < renewalIntervalMs {
		return nil
	}
	r.renewedMs = now
	due := map[string][]uint32{}
	for number, q := range r.open {
		if q.sent {
			due[q.owner.Address] = append(due[q.owner.Address], number)
			r.counts.renewed++
		}
	}
	for _, numbers := range due {
		slices.Sort(numbers)
	}
	return due
}

// renewAdmissions tells owners which requests of this box still run, if it is time to. It is called once a round.
func (m *Mesh) renewAdmissions() {
	due := m.admissions.dueRenewals(m.clock.Monotonic())
	for _, owner := range slices.Sorted(maps.Keys(due)) {
		numbers := due[owner]
		if owner == m.self.Address {
			m.admissionOwner.renew(owner, numbers)
			continue
		}
		for part := range slices.Chunk(numbers, maxRenewedNumbers) {
			m.sendMessage(owner, newRenewalMessage(part))
		}
	}
}

// handleAdmissionRenewal processes a renewal by a box. It returns ErrInvalid if the message is malformed.
func (m *Mesh) handleAdmissionRenewal(data []byte, from string) error {
	p, err := decodeAdmission[renewalMessage](data)
	if err != nil {
		return err
	}
	numbers, err := p.numbers()
	if err == nil {
		m.admissionOwner.renew(from, numbers)
	}
	return err
}
