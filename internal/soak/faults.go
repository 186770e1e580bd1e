package soak

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// fault is one thing that goes wrong, and how it ends.
type fault struct {
	name string
	// begin starts it and returns what ends it.
	begin func(f *fleet) (end func(f *fleet) error, err error)
	// fleetWide is set when it strikes all boxes at once.
	fleetWide bool
}

func nothing(*fleet) error { return nil }

// faults are all that a run may draw. Planned work is among them: stops, changes
// of the configuration, servers that leave. Without those that strike all boxes at once,
// bounds in time hold for some box most of the time.
func faults(withFleetWide bool) []fault {
	list := []fault{
		{name: "kill a box", begin: killBox},
		{name: "pause a box", begin: pauseBox},
		{name: "stop a box as planned", begin: stopBox},
		{name: "change settings and hang up", begin: hangUp},
		{name: "kill all boxes", begin: killAll, fleetWide: true},
		{name: "forget the store's history", begin: func(f *fleet) (func(*fleet) error, error) {
			f.store.Compact()
			return nothing, nil
		}},
		{name: "lapse all entries", begin: lapse, fleetWide: true},
		{name: "the store comes back from a copy", begin: restoreStore},
		{name: "take a key away", begin: revoke},
		{name: "change the configuration", begin: change},
		{name: "pause a box again and again", begin: pauseBoxInRow},
		{name: "crash a server", begin: crashServer(false)},
		{name: "crash a server that keeps its id", begin: crashServer(true)},
		{name: "another writer replaces an entry", begin: replaceEntry},
		{name: "another writer writes entries", begin: writeEntries},
		{name: "a server leaves", begin: leaveServer},
	}
	list = append(list, storeFaults()...)
	list = append(list, linkFaults()...)
	list = append(list, serverFaults()...)
	if withFleetWide {
		return list
	}
	return slices.DeleteFunc(list, func(one fault) bool { return one.fleetWide })
}

func storeFaults() []fault {
	list := []fault{}
	for _, kind := range []standin.StoreFault{
		standin.StoreBusy, standin.StoreSilent, standin.StoreSlow, standin.StoreReset,
	} {
		begin := func(f *fleet) (func(*fleet) error, error) {
			f.store.SetFault(kind)
			return disturbing(f, everywhere, func(f *fleet) error { f.store.SetFault(standin.StoreWell); return nil }, nil)
		}
		list = append(list, fault{name: "store " + string(kind), fleetWide: true, begin: begin})
	}
	return list
}

func linkFaults() []fault {
	list := []fault{}
	for _, kind := range []linkFault{linkDelayed, linkReset, linkSilent, linkNoAnswers, linkStale} {
		list = append(list,
			linkOf("a box's store "+string(kind), kind, func(f *fleet) (*link, string) {
				b := f.anyBox()
				return b.store, b.name
			}),
			linkOf("a box's callers "+string(kind), kind, func(f *fleet) (*link, string) {
				b := f.anyBox()
				return b.callers, b.name
			}),
			linkOf("a server's link "+string(kind), kind, func(f *fleet) (*link, string) {
				s := f.anyServer()
				return s.link, s.id()
			}),
		)
	}
	return list
}

func serverFaults() []fault {
	list := []fault{}
	for _, kind := range []standin.ServerFault{
		standin.ServerErrors, standin.ServerShed, standin.ServerLost,
		standin.ServerTorn, standin.ServerExtra, standin.ServerSlow,
	} {
		list = append(list, fault{name: "server " + string(kind), begin: func(f *fleet) (func(*fleet) error, error) {
			s := f.anyServer()
			s.mu.Lock()
			current := s.current
			s.mu.Unlock()
			current.SetFault(kind)
			return func(*fleet) error { current.SetFault(standin.ServerWell); return nil }, nil
		}})
	}
	return list
}

// linkOf is a fault of a link that belongs to a box or a server of some name.
func linkOf(name string, kind linkFault, pick func(f *fleet) (*link, string)) fault {
	return fault{name: name, begin: func(f *fleet) (func(*fleet) error, error) {
		l, owner := pick(f)
		l.set(kind)
		return disturbing(f, owner, func(*fleet) error { l.set(linkWell); return nil }, nil)
	}}
}

func (f *fleet) anyBox() *box { return f.boxes[f.draw(len(f.boxes))] }

func (f *fleet) anyServer() *server { return f.servers[f.draw(len(f.servers))] }

func killBox(f *fleet) (func(*fleet) error, error) {
	b := f.anyBox()
	return disturbing(f, b.name, func(*fleet) error { return b.process.start() }, b.process.kill())
}

func killAll(f *fleet) (func(*fleet) error, error) {
	errs, undisturb := []error{}, []func(){}
	for _, b := range f.boxes {
		undisturb = append(undisturb, f.disturb(b.name))
		errs = append(errs, b.process.kill())
	}
	return disturbing(f, everywhere, func(f *fleet) error {
		errs := []error{}
		for _, end := range undisturb {
			defer end()
		}
		for _, b := range f.boxes {
			errs = append(errs, b.process.start())
		}
		return errors.Join(errs...)
	}, errors.Join(errs...))
}

func pauseBox(f *fleet) (func(*fleet) error, error) {
	b := f.anyBox()
	goOn := func(*fleet) error { return b.process.signal(syscall.SIGCONT) }
	return disturbing(f, b.name, goOn, b.process.signal(syscall.SIGSTOP))
}

// stopBox sends the signal of a planned stop and starts the box again once it has
// ended, or kills it after its grace.
func stopBox(f *fleet) (func(*fleet) error, error) {
	b := f.anyBox()
	return disturbing(f, b.name, func(*fleet) error {
		if !b.process.wait(graceS * time.Second) {
			if err := b.process.kill(); err != nil {
				return err
			}
		}
		return b.process.start()
	}, b.process.signal(syscall.SIGTERM))
}

func hangUp(f *fleet) (func(*fleet) error, error) {
	return nothing, f.anyBox().process.signal(syscall.SIGHUP)
}

func lapse(f *fleet) (func(*fleet) error, error) {
	undisturb := f.disturb(everywhere)
	f.store.SetFault(standin.StoreBusy)
	for _, s := range f.servers {
		s.mu.Lock()
		f.store.RemoveServer(s.current.ID)
		s.mu.Unlock()
	}
	return func(f *fleet) error {
		defer undisturb()
		f.store.SetFault(standin.StoreWell)
		for _, s := range f.servers {
			f.announce(s, false)
		}
		return nil
	}, nil
}

// revoke takes one key of a tenant that has more than one.
func revoke(f *fleet) (func(*fleet) error, error) {
	tenant := fmt.Sprint("tenant-", f.draw(tenantCount))
	f.mu.Lock()
	keys := f.config.Keys[tenant]
	if len(keys) < 2 {
		f.addKey(tenant)
		f.mu.Unlock()
		return nothing, nil
	}
	gone := keys[0]
	f.config.Keys[tenant] = append([]string(nil), keys[1:]...)
	f.mu.Unlock()
	f.putConfig()
	f.ledger.noteRevoked(gone)
	return nothing, nil
}

func change(f *fleet) (func(*fleet) error, error) {
	f.mu.Lock()
	f.config.Extra = append(f.config.Extra, fmt.Sprint("extra-", len(f.config.Extra)))
	f.mu.Unlock()
	f.putConfig()
	return nothing, nil
}

// putConfig writes the configuration under a newer version.
func (f *fleet) putConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config.Version += 1 + f.random.IntN(3)
	f.store.PutConfig(f.config)
}

// id is the name of the current incarnation.
func (s *server) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.ID
}

// pauseBoxInRow stops a box and lets it go on, several times, for a while each.
func pauseBoxInRow(f *fleet) (func(*fleet) error, error) {
	b := f.anyBox()
	undisturb := f.disturb(b.name)
	return func(f *fleet) error {
		defer undisturb()
		errs := []error{}
		for range 3 {
			errs = append(errs, b.process.signal(syscall.SIGSTOP))
			time.Sleep(time.Duration(leastMs+f.draw(faultGapMs)) * time.Millisecond)
			errs = append(errs, b.process.signal(syscall.SIGCONT))
			time.Sleep(time.Duration(leastMs+f.draw(leastMs)) * time.Millisecond)
		}
		return errors.Join(errs...)
	}, nil
}

// crashServer breaks what is open at a server and refuses what comes; a new incarnation
// follows at the same address, under its id or another.
func crashServer(keepID bool) func(f *fleet) (func(*fleet) error, error) {
	return func(f *fleet) (func(*fleet) error, error) {
		s := f.anyServer()
		s.mu.Lock()
		again := !s.down
		s.down = true
		s.mu.Unlock()
		if !again {
			return nothing, nil
		}
		s.link.set(linkRefused)
		return func(f *fleet) error {
			s.link.set(linkWell)
			f.startAgain(s, keepID)
			return nil
		}, nil
	}
}

// foreignEntries are entries of other writers.
var foreignEntries = [][]byte{
	[]byte("{"), []byte("null"), []byte("[]"), []byte("{}"), []byte("\x00\xff"),
	foreignEntry(`"service":7,"address":"127.0.0.1:9","slots":8,"state":"ready"`),
	foreignEntry(`"service":"p","address":"nonsense","slots":8,"state":"ready"`),
	foreignEntry(`"service":"p","address":"127.0.0.1:9","slots":-4,"state":"ready"`),
	foreignEntry(`"service":"p","address":"127.0.0.1:9","slots":8,"state":"paused"`),
}

// foreignEntry is one that is whole but for what is wrong in some fields.
func foreignEntry(fields string) []byte {
	return []byte("{" + fields + `,"zone":"zone-0","version":"v1","coldLeftMs":0,"sequence":1}`)
}

// replaceEntry has another writer replace a server's entry until the server writes its own.
func replaceEntry(f *fleet) (func(*fleet) error, error) {
	s := f.anyServer()
	id := s.id()
	s.setReplaced(true)
	f.store.PutForeign(id, foreignEntries[f.draw(len(foreignEntries))])
	named := f.ledger.noteUnnamed(id)
	return func(f *fleet) error {
		s.setReplaced(false)
		named()
		if s.id() == id {
			f.announce(s, false)
		}
		return nil
	}, nil
}

// writeEntries has another writer add entries that are no server's.
func writeEntries(f *fleet) (func(*fleet) error, error) {
	for i, value := range foreignEntries {
		f.store.PutForeign(fmt.Sprint("foreign-", i), value)
	}
	f.store.PutForeign("a key with blanks", foreignEntries[0])
	return nothing, nil
}

func leaveServer(f *fleet) (func(*fleet) error, error) {
	s := f.anyServer()
	old := s.id()
	s.setLeaving(true)
	f.announce(s, true)
	f.ledger.noteLeft(old)
	began := time.Now()
	return func(f *fleet) error {
		// It serves on for longer than boxes may send it work, so that such work shows.
		time.Sleep(time.Until(began.Add(lingerSpan)))
		f.entries.Lock()
		defer f.entries.Unlock()
		f.store.RemoveServer(old)
		s.setLeaving(false)
		f.incarnate(s)
		return nil
	}, nil
}

// lingerSpan is how long a server serves on that said that it leaves.
const lingerSpan = 4 * time.Second
