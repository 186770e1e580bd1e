package main

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"dooryard.example/dooryard/internal/upstream"
)

// link is the way from boxes to a server: what listens at the server's address, and passes bytes on to its process.
type link struct {
	*fleet
	address string
	target  string
	// lateBy is the longest time after the end of a cut at which what was held up on a connection arrives.
	lateBy time.Duration

	mu sync.Mutex
	// cutBox is the box that is cut off from the server until healed is closed.
	cutBox int
	healed chan struct{}
}

// newLink returns a link from the address of a listener to that of a process.
func newLink(f *fleet, l net.Listener, target string, lateBy time.Duration) *link {
	k := &link{fleet: f, address: l.Addr().String(), target: target, lateBy: lateBy}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.pass(c)
		}
	}()
	return k
}

func (k *link) pass(c net.Conn) {
	box := ownerOf(c, k.boxes)
	if healed := k.cutFrom(box); healed != nil {
		// It stays silent, and nothing that is sent on it ever arrives: it would not have been opened.
		<-healed
		reset(c)
		return
	}
	s, err := dial(k.target)
	if err != nil {
		// A dead port resets.
		reset(c)
		return
	}
	go k.copy(box, s, c)
	go k.copy(box, c, s)
}

func reset(c net.Conn) {
	upstream.ResetOnClose(c)
	_ = c.Close()
}

// copy passes what one side sends on to the other, and its end. Nothing passes while the way is cut.
func (k *link) copy(box int, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		k.await(box)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if half, ok := to.(interface{ CloseWrite() error }); ok {
				_ = half.CloseWrite()
			}
			return
		default:
			// A reset is passed on as one.
			reset(to)
			_ = from.Close()
			return
		}
	}
}

// cutFrom returns a channel that is closed at the end of the cut between a box and the server, or nil if there is none.
func (k *link) cutFrom(box int) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.healed == nil || k.cutBox != box {
		return nil
	}
	return k.healed
}

// await waits until the way is not cut, and until the sender has sent again what was lost in the cut.
func (k *link) await(box int) {
	if healed := k.cutFrom(box); healed != nil {
		<-healed
		if k.lateBy > 0 {
			time.Sleep(rand.N(k.lateBy))
		}
	}
}

// cut makes open and new connections between a box and the server silent.
func (k *link) cut(box int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutBox, k.healed = box, make(chan struct{})
}

// heal ends the cut. What was under way arrives.
func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
	k.healed = nil
}
