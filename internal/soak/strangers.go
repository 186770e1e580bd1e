package soak

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Strangers send what no caller, box or operator sends, to any port of a box, and the store answers what it should not.
const (
	strangerGapMs   = 900
	strangerSpan    = 2 * time.Second
	strangerBytes   = 16 << 10
	pipelineLength  = 200
	idleConnections = 40
	maxStoreFaultMs = 2000
)

func strangerFaults() []processFault {
	return []processFault{
		{"a stranger's endless header", planStranger(sendEndlessHeader)},
		{"a stranger's pipeline", planStranger(sendPipeline)},
		{"a stranger's random bytes", planStranger(sendRandomBytes)},
		{"a stranger's idle connections", planIdleConnections},
		{"store garbled", planStoreFault(standin.StoreGarbled)},
		{"store torn", planStoreFault(standin.StoreTorn)},
		{"store repeats", planStoreFault(standin.StoreRepeats)},
	}
}

// injectStrangers plays them until ctx ends.
func (f *fleet) injectStrangers(ctx context.Context) {
	f.play(ctx, rand.New(rand.NewPCG(f.settings.Seed, 13)), strangerFaults(), strangerGapMs)
}

// planStoreFault is no disturbance of boxes: they serve on with what they know, and know better soon.
func planStoreFault(kind standin.StoreFault) func(*fleet, *box, *rand.Rand) func() error {
	return func(f *fleet, _ *box, random *rand.Rand) func() error {
		span := drawMs(random, minDelayMs, maxStoreFaultMs)
		return func() error {
			if f.store.Fault() != standin.StoreHealthy {
				return nil
			}
			f.store.SetFault(kind)
			time.Sleep(span)
			if f.store.Fault() == kind {
				f.store.SetFault(standin.StoreHealthy)
			}
			return nil
		}
	}
}

// drawPort returns the address of a TCP port of a box.
func (b *box) drawPort(random *rand.Rand) string {
	ports := []int{callersPort, readinessPort, peersPort, metricsPort}
	return net.JoinHostPort(b.ip, strconv.Itoa(ports[random.IntN(len(ports))]))
}

// planStranger opens a connection on which send writes until the box closes it, or for strangerSpan.
func planStranger(send func(w io.Writer, seed uint64) error) func(*fleet, *box, *rand.Rand) func() error {
	return func(_ *fleet, b *box, random *rand.Rand) func() error {
		address, seed := b.drawPort(random), random.Uint64()
		return func() error {
			conn, err := dialStranger(address)
			if err != nil {
				return nil //nolint:nilerr // The box may be down.
			}
			defer func() { _ = conn.Close() }()
			if err := conn.SetDeadline(time.Now().Add(strangerSpan)); err != nil {
				return err
			}
			for err == nil {
				err = send(conn, seed)
			}
			// The end of the connection is what the box decides.
			return nil
		}
	}
}

func dialStranger(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// errSent ends what is sent once.
var errSent = errors.New("sent")

// sendEndlessHeader writes a part of a header that begins with a request line and has no end.
func sendEndlessHeader(w io.Writer, seed uint64) error {
	line := "X-" + strconv.FormatUint(seed, 36) + ": "
	_, err := io.WriteString(w, "POST /safe/ HTTP/1.1\r\nHost: "+standin.Host+"\r\n"+line)
	for err == nil {
		_, err = w.Write(bytes.Repeat([]byte{'a'}, strangerBytes))
	}
	return err
}

// sendPipeline writes many requests and reads no response.
func sendPipeline(w io.Writer, _ uint64) error {
	_, err := w.Write(bytes.Repeat([]byte("GET /ready HTTP/1.1\r\nHost: "+standin.Host+"\r\n\r\n"), pipelineLength))
	return err
}

// sendRandomBytes writes what is no request.
func sendRandomBytes(w io.Writer, seed uint64) error {
	data, random := make([]byte, strangerBytes), rand.New(rand.NewPCG(seed, 1))
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	_, err := w.Write(data)
	return errors.Join(err, errSent)
}

// planIdleConnections opens connections on which nothing is sent.
func planIdleConnections(_ *fleet, b *box, random *rand.Rand) func() error {
	address := b.drawPort(random)
	return func() error {
		for range idleConnections {
			conn, err := dialStranger(address)
			if err != nil {
				return nil //nolint:nilerr // The box may be down.
			}
			defer func() { _ = conn.Close() }()
		}
		time.Sleep(strangerSpan)
		return nil
	}
}
