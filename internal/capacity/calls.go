package capacity

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/datagram"
	"dooryard.example/dooryard/internal/membership"
	"dooryard.example/dooryard/internal/transport"
)

// Names of the slopes for the cost of single calls on loopback connections.
const (
	DatagramCost = "calls: processor of a datagram, both ends"
	HTTPCallCost = "calls: processor of an HTTP call, both ends"
)

const callKey = "a-key-of-the-fleet-for-measuring"

// callSizes are the numbers of calls per measurement.
var callSizes = []int{2000, 5000, 10_000, 20_000}

// measureCalls measures the processor time of calls. The slope is the cost of a single
// call.
func measureCalls() []Slope {
	const micro = 1000
	slopeOf := func(name string, calls func(count int)) Slope {
		return measure(Slope{Name: name, Against: "calls", Unit: "µs"}, callSizes, func(count int) float64 {
			before := processorTime()
			calls(count)
			return float64((processorTime() - before).Nanoseconds()) / micro
		})
	}
	return []Slope{slopeOf(DatagramCost, exchangeDatagrams), slopeOf(HTTPCallCost, makeHTTPCalls)}
}

// processorTime returns the processor time that this process has used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// discard is a byte counter that counts nothing.
type discard struct{}

// Add does nothing.
func (discard) Add(int64) {}

// exchangeDatagrams exchanges the given number of messages between two sockets.
func exchangeDatagrams(count int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	one, two := openSocket(), openSocket()
	body := make([]byte, 60)
	remaining := count
	channel := datagram.Channel{
		Prefix: membership.ChannelPrefix, MACBytes: membership.MACBytes, Sent: discard{}, Received: discard{},
	}
	channel.Handle = func(from string, _ []byte) { two.Send(channel.Prefix, from, body) }
	two.AddChannel(channel)
	channel.Handle = func(from string, _ []byte) {
		remaining -= 2
		if remaining <= 0 {
			close(done)
			return
		}
		one.Send(channel.Prefix, from, body)
	}
	one.AddChannel(channel)
	go one.Run(ctx)
	go two.Run(ctx)
	one.Send(channel.Prefix, two.Address(), body)
	<-done
}

func openSocket() *datagram.Socket {
	conn, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return datagram.New(conn, func() []string { return []string{callKey} }, discard{}, zap.NewNop())
}

// makeHTTPCalls makes HTTP calls on a reused connection, as boxes do to each other.
func makeHTTPCalls(count int) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) }),
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client := transport.NewControlClient(transport.Settings{
		ConnectTimeoutMs: clock.Second, IdleTimeoutMs: clock.Second, MaxIdlePerHost: 1,
	}, func() string { return callKey }, discard{}, discard{})
	defer client.CloseIdleConnections()
	for range count {
		if err := callOnce(client, "http://"+listener.Addr().String()); err != nil {
			panic(err)
		}
	}
}

func callOnce(client *http.Client, url string) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Join(err, response.Body.Close())
}
