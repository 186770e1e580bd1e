package main

import (
	"syscall"
	"time"
)

const (
	calmTime  = 4 * time.Second
	killAfter = 3300 * time.Millisecond
	downTime  = 300 * time.Millisecond
)

// unconfirmed: a zone is cut off from the store, and one of its boxes is killed and starts again meanwhile.
func unconfirmed(e *env) error {
	z, err := newCutZone(e)
	if err != nil {
		return err
	}
	time.Sleep(calmTime)
	if err := z.useBefore(); err != nil {
		return err
	}
	return z.cutAndRevoke(func(cutAt time.Time) error {
		if !e.trouble {
			return nil
		}
		killed := z.boxes[0]
		time.Sleep(time.Until(cutAt.Add(killAfter)))
		killed.signal(syscall.SIGKILL)
		<-killed.done
		e.logf("%s is killed", killed.name)
		time.Sleep(downTime)
		return z.fleet.restart(killed)
	})
}
