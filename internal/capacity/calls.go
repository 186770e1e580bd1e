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

// Names of the costs of single calls on loopback sockets.
const (
	DatagramCost = "calls: processor of a datagram, both ends"
	HTTPCallCost = "calls: processor of an HTTP call, both ends"
)

const callKey = "a-key-of-the-fleet-for-measuring"

// callSizes are how many calls one measurement makes.
var callSizes = []int{2000, 5000, 10_000, 20_000}

// measureCalls takes the processor time of single calls. The slope is the cost
// of one call.
func measureCalls() []Slope {
	const micro = 1000
	take := func(name string, calls func(count int)) Slope {
		return measure(Slope{Name: name, Against: "calls", Unit: "µs"}, callSizes, func(count int) float64 {
			before := processorTime()
			calls(count)
			return float64((processorTime() - before).Nanoseconds()) / micro
		})
	}
	return []Slope{take(DatagramCost, datagrams), take(HTTPCallCost, httpCalls)}
}

// processorTime is what this process has used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

type nobody struct{}

// Add counts nothing.
func (nobody) Add(int64) {}

// datagrams sends messages to and fro between two sockets.
func datagrams(count int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	one, two := openSocket(), openSocket()
	body := make([]byte, 60)
	left := count
	channel := datagram.Channel{
		Name: membership.ChannelName, CodeBytes: membership.CodeBytes, Sent: nobody{}, Received: nobody{},
	}
	channel.Handle = func(from string, _ []byte) { two.Send(channel.Name, from, body) }
	two.Open(channel)
	channel.Handle = func(from string, _ []byte) {
		left -= 2
		if left <= 0 {
			close(done)
			return
		}
		one.Send(channel.Name, from, body)
	}
	one.Open(channel)
	go one.Run(ctx)
	go two.Run(ctx)
	one.Send(channel.Name, two.Address(), body)
	<-done
}

func openSocket() *datagram.Socket {
	conn, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return datagram.New(conn, func() []string { return []string{callKey} }, nobody{}, zap.NewNop())
}

// httpCalls makes calls on one kept connection, as boxes do between each other.
func httpCalls(count int) {
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
	client := transport.Control(transport.Settings{
		ConnectTimeoutMs: clock.Second, IdleTimeoutMs: clock.Second, MaxIdlePerHost: 1,
	}, func() string { return callKey }, nobody{}, nobody{})
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
