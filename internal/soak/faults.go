package soak

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// fault is a fault that a run injects and ends again.
type fault struct {
	name string
	// begin starts the fault and returns a function that ends it.
	begin func(f *fleet) (end func(f *fleet) error, err error)
	// fleetWide is set if the fault affects all boxes at once and is therefore left out of
	// timed runs. The restore of the store is not marked, although it disturbs all boxes, too.
	fleetWide bool
	// boxesOnly is set if servers are not disturbed.
	boxesOnly bool
}

// faults returns the faults that the run may draw.
func (f *fleet) faults() []fault {
	if f.settings.Load {
		return slices.DeleteFunc(faults(false), func(one fault) bool { return !one.boxesOnly })
	}
	return faults(!f.settings.Timed)
}

func noCleanup(*fleet) error { return nil }

// faults returns all faults that a run may draw. They include planned operations: stops,
// configuration changes and draining servers. Without the faults that affect all boxes at once,
// time bounds apply to some box most of the time.
func faults(withFleetWide bool) []fault {
	list := []fault{
		{name: "kill a box", begin: killBox, boxesOnly: true},
		{name: "pause a box", begin: pauseBox, boxesOnly: true},
		{name: "stop a box gracefully", begin: stopBox, boxesOnly: true},
		{name: "reload a box's settings", begin: reloadSettings, boxesOnly: true},
		{name: "kill all boxes", begin: killAllBoxes, fleetWide: true},
		{name: "compact the store's history", begin: func(f *fleet) (func(*fleet) error, error) {
			f.store.Compact()
			return noCleanup, nil
		}},
		{name: "expire all entries", begin: expireEntries, fleetWide: true},
		{name: "restore the store from a backup", begin: restoreStore},
		{name: "revoke a key", begin: revokeKey},
		{name: "change the configuration", begin: changeConfig, boxesOnly: true},
		{name: "pause a box repeatedly", begin: pauseBoxRepeatedly, boxesOnly: true},
		{name: "crash a server", begin: crashServer(false)},
		{name: "crash a server that keeps its id", begin: crashServer(true)},
		{name: "another writer replaces an entry", begin: replaceEntry},
		{name: "another writer writes entries", begin: writeForeignEntries},
		{name: "drain a server", begin: drainServer},
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
		standin.StoreBusy, standin.StoreUnresponsive, standin.StoreSlow, standin.StoreReset,
	} {
		begin := func(f *fleet) (func(*fleet) error, error) {
			f.store.SetFault(kind)
			return withDisturbance(f, allBoxes, func(f *fleet) error {
				f.store.SetFault(standin.StoreHealthy)
				return nil
			}, nil)
		}
		list = append(list, fault{name: "store " + string(kind), fleetWide: true, begin: begin})
	}
	return list
}

func linkFaults() []fault {
	list := []fault{}
	for _, kind := range []linkFault{linkDelayed, linkReset, linkBlackhole, linkNoAnswers, linkStale} {
		list = append(list,
			linkFaultOf("a box's store "+string(kind), kind, func(f *fleet) (*link, string) {
				b := f.randomBox()
				return b.store, b.name
			}),
			linkFaultOf("a box's callers "+string(kind), kind, func(f *fleet) (*link, string) {
				b := f.randomBox()
				return b.callers, b.name
			}),
			linkFaultOf("a server's link "+string(kind), kind, func(f *fleet) (*link, string) {
				s := f.randomServer()
				return s.link, s.id()
			}),
		)
	}
	return list
}

func serverFaults() []fault {
	list := []fault{}
	for _, kind := range []standin.ServerFault{
		standin.ServerErrors, standin.ServerShed, standin.ServerResponseLost,
		standin.ServerTruncated, standin.ServerDuplicate, standin.ServerSlow,
	} {
		list = append(list, fault{name: "server " + string(kind), begin: func(f *fleet) (func(*fleet) error, error) {
			s := f.randomServer()
			s.mu.Lock()
			current := s.current
			s.mu.Unlock()
			current.SetFault(kind)
			return func(*fleet) error { current.SetFault(standin.ServerHealthy); return nil }, nil
		}})
	}
	return list
}

// linkFaultOf returns a fault of a link. pick selects the link and returns it with the name of
// the box or server that it belongs to.
func linkFaultOf(name string, kind linkFault, pick func(f *fleet) (*link, string)) fault {
	return fault{name: name, begin: func(f *fleet) (func(*fleet) error, error) {
		l, owner := pick(f)
		l.set(kind)
		return withDisturbance(f, owner, func(*fleet) error { l.set(linkHealthy); return nil }, nil)
	}}
}

func (f *fleet) randomBox() *box { return f.boxes[f.draw(len(f.boxes))] }

func (f *fleet) randomServer() *server { return f.servers[f.draw(len(f.servers))] }

func killBox(f *fleet) (func(*fleet) error, error) {
	b := f.randomBox()
	return withDisturbance(f, b.name, func(*fleet) error { return b.process.start() }, b.process.kill())
}

func killAllBoxes(f *fleet) (func(*fleet) error, error) {
	errs, endDisturbance := []error{}, []func(){}
	for _, b := range f.boxes {
		endDisturbance = append(endDisturbance, f.disturb(b.name))
		errs = append(errs, b.process.kill())
	}
	return withDisturbance(f, allBoxes, func(f *fleet) error {
		errs := []error{}
		for _, end := range endDisturbance {
			defer end()
		}
		for _, b := range f.boxes {
			errs = append(errs, b.process.start())
		}
		return errors.Join(errs...)
	}, errors.Join(errs...))
}

func pauseBox(f *fleet) (func(*fleet) error, error) {
	b := f.randomBox()
	resume := func(*fleet) error { return b.process.signal(syscall.SIGCONT) }
	return withDisturbance(f, b.name, resume, b.process.signal(syscall.SIGSTOP))
}

// stopBox sends SIGTERM to a box. At the end of the fault it waits for the process to exit and
// restarts it.
func stopBox(f *fleet) (func(*fleet) error, error) {
	b := f.randomBox()
	endDisturbance := f.disturbAsPlanned(b.name)
	return func(*fleet) error {
		defer endDisturbance()
		if err := b.process.awaitStop(); err != nil {
			return err
		}
		return b.process.start()
	}, b.process.signal(syscall.SIGTERM)
}

func reloadSettings(f *fleet) (func(*fleet) error, error) {
	return noCleanup, f.randomBox().process.signal(syscall.SIGHUP)
}

func expireEntries(f *fleet) (func(*fleet) error, error) {
	endDisturbance := f.disturb(allBoxes)
	f.store.SetFault(standin.StoreBusy)
	for _, s := range f.servers {
		s.mu.Lock()
		f.store.RemoveServer(s.current.ID)
		s.mu.Unlock()
	}
	return func(f *fleet) error {
		defer endDisturbance()
		f.store.SetFault(standin.StoreHealthy)
		for _, s := range f.servers {
			f.writeEntry(s, false)
		}
		return nil
	}, nil
}

// revokeKey revokes a key of a tenant that has more than one. A tenant with fewer gets another
// key instead.
func revokeKey(f *fleet) (func(*fleet) error, error) {
	tenant := fmt.Sprint("tenant-", f.draw(tenantCount))
	f.mu.Lock()
	keys := f.config.Keys[tenant]
	if len(keys) < 2 {
		f.addKey(tenant)
		f.mu.Unlock()
		return noCleanup, nil
	}
	removed := keys[0]
	f.config.Keys[tenant] = append([]string(nil), keys[1:]...)
	f.mu.Unlock()
	f.putConfig()
	f.history.recordRevocation(removed)
	return noCleanup, nil
}

func changeConfig(f *fleet) (func(*fleet) error, error) {
	f.mu.Lock()
	f.config.Extra = append(f.config.Extra, fmt.Sprint("extra-", len(f.config.Extra)))
	f.mu.Unlock()
	f.putConfig()
	return noCleanup, nil
}

// putConfig writes the configuration with a higher version.
func (f *fleet) putConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config.Version += 1 + f.random.IntN(3)
	defer f.history.recordConfig()()
	f.store.PutConfig(f.config)
}

// id returns the id of the current incarnation.
func (s *server) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.ID
}

// pauseBoxRepeatedly pauses and resumes a box three times, for a random time each.
func pauseBoxRepeatedly(f *fleet) (func(*fleet) error, error) {
	b := f.randomBox()
	endDisturbance := f.disturb(b.name)
	return func(f *fleet) error {
		defer endDisturbance()
		errs := []error{}
		for range 3 {
			errs = append(errs, b.process.signal(syscall.SIGSTOP))
			time.Sleep(time.Duration(minDelayMs+f.draw(faultGapMs)) * time.Millisecond)
			errs = append(errs, b.process.signal(syscall.SIGCONT))
			time.Sleep(time.Duration(minDelayMs+f.draw(minDelayMs)) * time.Millisecond)
		}
		return errors.Join(errs...)
	}, nil
}

// crashServer returns a fault that resets a server's open connections and refuses new ones.
// A new incarnation follows at the same address, under the old id or a new one.
func crashServer(keepID bool) func(f *fleet) (func(*fleet) error, error) {
	return func(f *fleet) (func(*fleet) error, error) {
		s := f.randomServer()
		s.mu.Lock()
		alive := !s.down
		s.down = true
		s.mu.Unlock()
		if !alive {
			return noCleanup, nil
		}
		s.link.set(linkRefused)
		return func(f *fleet) error {
			s.link.set(linkHealthy)
			f.restartServer(s, keepID)
			return nil
		}, nil
	}
}

// foreignEntries are malformed entries of other writers.
var foreignEntries = [][]byte{
	[]byte("{"), []byte("null"), []byte("[]"), []byte("{}"), []byte("\x00\xff"),
	foreignEntry(`"service":7,"address":"127.0.0.1:9","slots":8,"state":"ready"`),
	foreignEntry(`"service":"p","address":"nonsense","slots":8,"state":"ready"`),
	foreignEntry(`"service":"p","address":"127.0.0.1:9","slots":-4,"state":"ready"`),
	foreignEntry(`"service":"p","address":"127.0.0.1:9","slots":8,"state":"paused"`),
}

// foreignEntry returns an entry that is valid except for the given fields.
func foreignEntry(fields string) []byte {
	return []byte("{" + fields + `,"zone":"zone-0","version":"v1","coldLeftMs":0,"sequence":1}`)
}

// replaceEntry replaces a server's entry as another writer would. The server rewrites its own
// entry at the end of the fault.
func replaceEntry(f *fleet) (func(*fleet) error, error) {
	s := f.randomServer()
	id := s.id()
	s.setReplaced(true)
	f.store.PutForeign(id, foreignEntries[f.draw(len(foreignEntries))])
	endReplacement := f.history.recordReplacement(id)
	return func(f *fleet) error {
		s.setReplaced(false)
		endReplacement()
		if s.id() == id {
			f.writeEntry(s, false)
		}
		return nil
	}, nil
}

// writeForeignEntries adds entries that belong to no server, as another writer would.
func writeForeignEntries(f *fleet) (func(*fleet) error, error) {
	for i, value := range foreignEntries {
		f.store.PutForeign(fmt.Sprint("foreign-", i), value)
	}
	f.store.PutForeign("a key with blanks", foreignEntries[0])
	return noCleanup, nil
}

func drainServer(f *fleet) (func(*fleet) error, error) {
	began, end := time.Now(), f.beginLeaving(f.randomServer(), true)
	return func(*fleet) error {
		// The server continues to serve for longer than boxes may send it work, so that late
		// work is recorded.
		time.Sleep(time.Until(began.Add(drainSpan)))
		end()
		return nil
	}, nil
}

// drainSpan is how long a server continues to serve after it announced that it drains.
const drainSpan = 4 * time.Second
