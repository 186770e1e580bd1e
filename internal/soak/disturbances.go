package soak

import "time"

// everywhere stands for all boxes, as when the store is disturbed.
const everywhere = ""

// span is a time in which something was disturbed; it is open while its end is zero.
type span struct {
	from, to time.Time
}

// touch notes which boxes and servers were disturbed, and when.
type touch map[string][]*span

// begin notes that something is disturbed from now on, and returns what notes the end.
func (t touch) begin(name string, now time.Time) *span {
	s := &span{from: now}
	t[name] = append(t[name], s)
	return s
}

// calm reports whether a name was undisturbed throughout a time.
func (t touch) calm(name string, from, to time.Time) bool {
	for _, s := range t[name] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// disturb notes that a box, a server, or everything is disturbed from now on. Call the
// function it returns when that ends.
func (f *fleet) disturb(name string) (end func()) {
	l := f.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.touch.begin(name, time.Now())
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now()
	}
}

// disturbing lets a fault that strikes one thing note for how long it does.
func disturbing(f *fleet, name string, end func(f *fleet) error, err error) (func(f *fleet) error, error) {
	undisturb := f.disturb(name)
	return func(f *fleet) error {
		defer undisturb()
		return end(f)
	}, err
}
