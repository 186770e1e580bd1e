package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	connectTimeout = time.Second
	headerTimeout  = 5 * time.Second
	bufferBytes    = 64 << 10
)

// listenLoopback listens on a free port of the loopback address.
func listenLoopback(ctx context.Context) (net.Listener, error) { return listenAt(ctx, "127.0.0.1:0") }

func listenAt(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", address)
}

// serve serves HTTP until the process ends.
func serve(l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }()
}

// acceptAll handles each connection in a goroutine of its own until the process ends.
func acceptAll(l net.Listener, handle func(conn net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go handle(conn)
	}
}

// link relays the connections of one box to the store. Before it passes on data of the box, it calls the
// hook, which may wait: data on a connection whose packet was lost arrives once the packet was sent again.
func link(ctx context.Context, to string, hook func(data []byte)) (string, error) {
	l, err := listenLoopback(ctx)
	if err != nil {
		return "", err
	}
	go acceptAll(l, func(conn net.Conn) { relay(ctx, conn, to, hook) })
	return l.Addr().String(), nil
}

func relay(ctx context.Context, conn net.Conn, to string, hook func(data []byte)) {
	defer func() { _ = conn.Close() }()
	out, err := dial(ctx, to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() {
		_, _ = io.Copy(conn, out)
		_ = conn.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			hook(buffer[:n])
			if _, err := out.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
