package main

import (
	"syscall"
	"time"
)

const (
	// firstLife is how long the box runs before it is killed, and settleTime how long it runs again before the cut.
	firstLife  = 24 * time.Second
	settleTime = 7 * time.Second
	// freezeTime is how long another box is frozen; the kill comes killIn after its begin.
	freezeTime = 4 * time.Second
	killIn     = time.Second
	backIn     = 500 * time.Millisecond
)

// echoed: a box is killed and starts again while another one is frozen. Later their zone is cut off from the store.
func echoed(e *env) error {
	z, err := newCutZone(e)
	if err != nil {
		return err
	}
	time.Sleep(firstLife)
	if e.trouble {
		if err := z.restartInFreeze(z.boxes[0], z.boxes[1]); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	if err := z.useBefore(); err != nil {
		return err
	}
	return z.cutAndRevoke(func(time.Time) error { return nil })
}

func (z *cutZone) restartInFreeze(killed, frozen *box) error {
	frozen.signal(syscall.SIGSTOP)
	z.logf("%s is frozen (SIGSTOP)", frozen.name)
	thaw := time.Now().Add(freezeTime)
	time.Sleep(killIn)
	killed.signal(syscall.SIGKILL)
	<-killed.done
	z.logf("%s is killed", killed.name)
	time.Sleep(backIn)
	if err := z.fleet.restart(killed); err != nil {
		return err
	}
	time.Sleep(time.Until(thaw))
	frozen.signal(syscall.SIGCONT)
	z.logf("%s wakes", frozen.name)
	return nil
}
