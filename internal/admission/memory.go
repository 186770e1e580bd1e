package admission

import "dooryard.example/dooryard/internal/namekey"

// memory counts the tokens that an upstream holds: those of each request's own part and output, and those of shared
// parts once per session. It addresses loads under which memory is short before slots are.
type memory struct {
	// capacity is 0 if it is unknown.
	capacity, held int
	sessions       map[namekey.Key]sharedParts
}

type sharedParts struct {
	tokens, requests int
}

// need returns the tokens that a request would add.
func (m *memory) need(r *request) int {
	return r.ask.OwnTokens + max(0, r.ask.SharedTokens-m.sessions[r.ask.Session].tokens)
}

// fits reports whether a request fits beside the others. One that is larger than an empty upstream needs an idle one.
func (m *memory) fits(r *request, idle bool) bool {
	return idle || m.capacity == 0 || m.held+m.need(r) <= m.capacity
}

func (m *memory) add(r *request) {
	m.held += m.need(r)
	s := m.sessions[r.ask.Session]
	s.tokens = max(s.tokens, r.ask.SharedTokens)
	s.requests++
	m.sessions[r.ask.Session] = s
}

func (m *memory) remove(r *request) {
	m.held -= r.ask.OwnTokens
	s := m.sessions[r.ask.Session]
	s.requests--
	if s.requests == 0 {
		m.held -= s.tokens
		delete(m.sessions, r.ask.Session)
		return
	}
	m.sessions[r.ask.Session] = s
}

// share returns the tokens that a request holds, with its part of the shared ones.
func (m *memory) share(r *request) float64 {
	s := m.sessions[r.ask.Session]
	return float64(r.ask.OwnTokens) + float64(s.tokens)/float64(s.requests)
}

// free returns the tokens that are not held.
func (m *memory) free() float64 { return float64(max(0, m.capacity-m.held)) }
