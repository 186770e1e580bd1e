package soak

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/platform/standin"
)

// Exact callers wait for exactly as long as they tell, from when they connect or send the first byte.
const (
	firstExactStream = 30_000
	exactPerBox      = 6
	minExactMs       = 300
	exactRangeMs     = 900
	exactGapMs       = 60
	// A server that responds shortly before the deadline does so at most maxShortlyMs before it.
	maxShortlyMs = 150
	// A slow head takes up to maxHeadMs.
	maxHeadMs = 200
	// exactGrace is how long after its deadline a caller reads on, only to learn by how much the response is late.
	exactGrace = time.Second
	// leadPart is the inverse of the part of a caller's time that a box may keep for its last response: the greatest
	// by its default settings.
	leadPart = 10
	// maxUnreadPart is the inverse of the part of the callers of last responses that may read none in time. The aim is
	// none; one more is allowed, so that a single one decides no short run.
	maxUnreadPart = 100
	// maxReplaced is how many sound responses boxes may replace. The aim is none.
	maxReplaced = 1
	// waitsSpan is the part at the beginning and at the end of a request in which waits for a processor count.
	waitsSpan = 60 * time.Millisecond
	// maxOpening is how long after the connection was opened the first byte may be written of the request that it was
	// opened for. Boxes allow more.
	maxOpening = 30 * time.Millisecond

	exactHeader = "X-Respond-At"
	silentValue = "never"
)

// exactDistances are the times that bytes take from a caller to its box. They are played by acting that much later.
func exactDistances() []time.Duration {
	return []time.Duration{0, 3 * time.Millisecond, 4500 * time.Microsecond}
}

// exactCall is a request of an exact caller. All times are those at the box.
type exactCall struct {
	id, box  string
	kept     bool
	distance time.Duration
	// from is when the request began to arrive, and wait for how long after it left its caller that one waits.
	from time.Time
	wait time.Duration
	// responded is when a server sent a sound response, or zero. arrived is when the last byte of a response was sent
	// to the caller, or zero, with its status.
	responded, arrived time.Time
	status             int
	// waited is how long a thread of the box waited for a processor at the beginning and at the end, at most.
	waited time.Duration
}

// deadline returns until when the box must have sent the last byte.
func (c *exactCall) deadline() time.Time {
	return c.from.Add(c.wait - c.sentBefore() - c.distance)
}

// sentBefore returns by how much the caller counts from an earlier time than the arrival of its first byte.
func (c *exactCall) sentBefore() time.Duration {
	if c.kept {
		return c.distance
	}
	// The handshake takes a round trip before.
	return 3 * c.distance //nolint:mnd // Three ways.
}

// isLate reports whether the caller had left when the response arrived.
func (c *exactCall) isLate() bool { return c.arrived.IsZero() || c.arrived.After(c.deadline()) }

// isLast reports whether the response is the last one to a request that no server served in time.
func (c *exactCall) isLast() bool {
	return c.arrived.IsZero() || c.status == http.StatusGatewayTimeout || c.status == http.StatusRequestTimeout
}

// isReplaced reports whether a server sent a sound response early enough that the caller did not get.
func (c *exactCall) isReplaced() bool {
	early := c.deadline().Add(-c.wait/leadPart - c.waited)
	return !c.responded.IsZero() && c.responded.Before(early) && (c.status != http.StatusOK || c.isLate())
}

// exactStats counts the requests of exact callers.
type exactStats struct {
	Requests, Served int
	// Last are the last responses of undisturbed boxes, Unread those of them that came too late, and LongestLagMs by how
	// much at most. Excused are those that are late by no more than their box waited for a processor.
	Last, Unread, Excused int
	LongestLagMs          float64
	// Replaced are sound responses that were sent early enough and not delivered, and Within those that were sent within
	// the lead of the box and not delivered in time.
	Replaced, Within int
	// FirstUnread and FirstReplaced describe the first of each.
	FirstUnread, FirstReplaced string `json:",omitempty"`
}

// checkExact checks that callers who wait for exactly as long as they tell read a response.
func (h *history) checkExact() []violation {
	violations := []violation{}
	for _, c := range h.exactCalls {
		h.exact.Requests++
		ended := c.deadline().Add(exactGrace)
		if !h.disturbances.undisturbed(c.box, c.from, ended) || !h.disturbances.undisturbed(allBoxes, c.from, ended) {
			continue
		}
		if h.exact.countSound(c) {
			h.exact.FirstReplaced = cmp.Or(h.exact.FirstReplaced, c.String())
		}
		if h.exact.countLast(c) {
			h.exact.FirstUnread = cmp.Or(h.exact.FirstUnread, c.String())
		}
	}
	if h.exact.Unread > 1+h.exact.Last/maxUnreadPart {
		violations = append(violations, violation{
			"callers that wait for exactly their deadline read a response", "of several callers",
			fmt.Sprintf("%d of %d read none in time, the first: %s", h.exact.Unread, h.exact.Last, h.exact.FirstUnread),
		})
	}
	if h.exact.Replaced > maxReplaced {
		violations = append(violations, violation{
			"sound responses that arrive in time are delivered", "of several callers",
			fmt.Sprintf("%d were not, the first: %s", h.exact.Replaced, h.exact.FirstReplaced),
		})
	}
	return violations
}

// countSound counts a sound response, and reports whether the caller did not get one that was sent early enough.
func (s *exactStats) countSound(c *exactCall) (replaced bool) {
	delivered := c.status == http.StatusOK && !c.isLate()
	switch {
	case delivered:
		s.Served++
	case c.isReplaced():
		s.Replaced++
		return true
	case !c.responded.IsZero():
		s.Within++
	}
	return false
}

// countLast counts a last response, and reports whether the caller did not read it in time.
func (s *exactStats) countLast(c *exactCall) (unread bool) {
	if !c.isLast() {
		return false
	}
	s.Last++
	if !c.isLate() {
		return false
	}
	if !c.arrived.IsZero() {
		lagMs := float64(c.arrived.Sub(c.deadline())) / float64(time.Millisecond)
		s.LongestLagMs = max(s.LongestLagMs, lagMs)
		if c.arrived.Before(c.deadline().Add(c.waited + 1)) {
			s.Excused++
			return false
		}
	}
	s.Unread++
	return true
}

// String describes a request in findings.
func (c *exactCall) String() string {
	since := func(at time.Time) string {
		if at.IsZero() {
			return "never"
		}
		return "at " + at.Sub(c.from).String()
	}
	return fmt.Sprintf("%s at %s from %s on, %s away, kept %t, waits %s: status %d %s, server responded %s, "+
		"deadline of the box at %s; its threads waited %s for a processor", c.id, c.box, c.from.Format(timeOfDay),
		c.distance, c.kept, c.wait, c.status, since(c.arrived), since(c.responded), c.deadline().Sub(c.from), c.waited)
}

// startExact starts the exact callers, until ctx ends.
func (f *fleet) startExact(ctx context.Context, workers *sync.WaitGroup) {
	for i := range exactPerBox * len(f.boxes) {
		workers.Go(func() { f.runExact(ctx, i) })
	}
}

// runExact sends requests of an exact caller, until ctx ends.
func (f *fleet) runExact(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(f.settings.Seed, uint64(firstExactStream+number)))
	b := f.boxes[number%len(f.boxes)]
	distance := exactDistances()[number/len(f.boxes)%len(exactDistances())]
	var conn *exactConn
	for sequence := 0; ctx.Err() == nil; sequence++ {
		sleep(ctx, drawMs(random, 0, exactGapMs))
		c := &exactCall{
			id: fmt.Sprintf("%d-e%d-%d", f.settings.Seed, number, sequence), box: b.name, distance: distance,
			kept: conn != nil,
		}
		begun := b.process.times()
		var err error
		if conn == nil {
			if conn, err = dialExact(ctx, net.JoinHostPort(b.ip, strconv.Itoa(callersPort))); err != nil {
				conn = nil
				sleep(ctx, refusedGap)
				continue
			}
		}
		keep := f.exchangeExact(conn, c, b, begun, random)
		f.history.recordExact(c)
		if !keep || random.IntN(2) == 0 {
			// The caller has its response, or has given up.
			_ = conn.Close()
			conn = nil
		}
	}
}

// exchangeExact sends one request and reads what comes until exactGrace after the deadline. It reports whether the
// connection may be used again.
func (f *fleet) exchangeExact(
	conn *exactConn, c *exactCall, b *box, begun threadTimes, random *rand.Rand,
) (keep bool) {
	c.from, c.wait = time.Now(), drawMs(random, minExactMs, exactRangeMs)
	head := fmt.Sprintf("POST /%s/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\n"+
		standin.HeaderRequestID+": %s\r\nContent-Length: 1\r\n", standin.Safe, standin.Host, f.drawKey(random), c.id)
	if random.IntN(8) == 0 { //nolint:mnd // Some callers know the route's time only.
		c.wait = standin.RouteTimeoutMs * time.Millisecond
	} else {
		head += fmt.Sprintf(standin.HeaderDeadlineMs+": %d\r\n", c.wait.Milliseconds())
	}
	respondAt := silentValue
	switch random.IntN(3) { //nolint:mnd // Silent, shortly before the deadline, and usual.
	case 0:
		respondAt = strconv.FormatInt(c.deadline().Add(-drawMs(random, 0, maxShortlyMs)).UnixNano(), 10)
	case 1:
		respondAt = strconv.FormatInt(c.from.Add(drawMs(random, 0, minExactMs/2)).UnixNano(), 10)
	}
	head += exactHeader + ": " + respondAt + "\r\n\r\nx"
	first := min(len(head), 1+random.IntN(2*len(head))) //nolint:mnd // Half of the heads are slow.
	if !conn.write(head[:first]) {
		return false
	}
	if c.kept || time.Since(c.from) > maxOpening {
		// The box may count from now on, as if the connection had been opened in advance.
		c.kept, c.from = true, time.Now()
	}
	if first < len(head) {
		time.Sleep(drawMs(random, 0, maxHeadMs))
		if !conn.write(head[first:]) {
			return false
		}
	}
	time.Sleep(time.Until(c.from.Add(waitsSpan)))
	early := b.process.times().waitedSince(begun, waitsSpan)
	time.Sleep(min(time.Until(c.deadline().Add(-waitsSpan)), c.wait))
	ending := b.process.times()
	status, closes := conn.read(c.deadline().Add(exactGrace))
	c.status, c.arrived = status, conn.arrived
	if status == 0 {
		c.arrived = time.Time{}
	}
	c.waited = early + b.process.times().waitedSince(ending, waitsSpan)
	c.responded = f.history.exactResponse(c.id)
	return status != 0 && !closes
}

func (h *history) recordExact(c *exactCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exactCalls = append(h.exactCalls, c)
}

// recordExactResponse records that a server sends a response.
func (h *history) recordExactResponse(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exactResponses[id] = time.Now()
}

func (h *history) exactResponse(id string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exactResponses[id]
}

// serveExact responds to a request of an exact caller at the time that it tells, or never.
func (s *server) serveExact(w http.ResponseWriter, r *http.Request, record func(id string)) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id, at := r.Header.Get(standin.HeaderRequestID), r.Header.Get(exactHeader)
	nanos, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	sleep(r.Context(), time.Until(time.Unix(0, nanos)))
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	record(id)
	w.Header().Set(standin.HeaderRequestID, id)
	// A box that has gone doesn't read it.
	_, _ = io.WriteString(w, "done")
}

// exactConn is a connection that knows when bytes arrived, however late they are read.
type exactConn struct {
	*net.TCPConn
	raw     syscall.RawConn
	reader  *bufio.Reader
	arrived time.Time
}

func dialExact(ctx context.Context, address string) (*exactConn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, _ := conn.(*net.TCPConn)
	c := &exactConn{TCPConn: tcp}
	if c.raw, err = tcp.SyscallConn(); err == nil {
		err = c.raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
		})
	}
	c.reader = bufio.NewReader(c)
	return c, err
}

func (c *exactConn) write(text string) bool {
	_, err := io.WriteString(c.TCPConn, text)
	return err == nil
}

// read reads a response until a time. The status is 0 if there is none.
func (c *exactConn) read(until time.Time) (status int, closes bool) {
	if err := c.SetReadDeadline(until); err != nil {
		return 0, true
	}
	status, closes, err := readWhole(c.reader)
	if err != nil {
		return 0, true
	}
	return status, closes
}

// Read implements io.Reader. It takes the time of arrival from the kernel.
func (c *exactConn) Read(data []byte) (n int, err error) {
	control, received := make([]byte, unix.CmsgSpace(timespecBytes)), 0
	readErr := c.raw.Read(func(fd uintptr) bool {
		n, received, _, _, err = unix.Recvmsg(int(fd), data, control, unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
	if err = errors.Join(readErr, err); err != nil {
		return 0, err
	}
	if n == 0 {
		return 0, io.EOF
	}
	c.arrived = time.Now()
	messages, err := unix.ParseSocketControlMessage(control[:received])
	for _, m := range messages {
		if m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= timespecBytes {
			seconds, nanos := binary.NativeEndian.Uint64(m.Data), binary.NativeEndian.Uint64(m.Data[timespecBytes/2:])
			c.arrived = time.Unix(int64(seconds), int64(nanos)) //nolint:gosec // The kernel's times are positive.
		}
	}
	return n, err
}

// timespecBytes is the size of the kernel's times: seconds and nanoseconds.
const timespecBytes = 16
