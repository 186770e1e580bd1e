// Package server provides HTTP servers with limits on connections and headers.
package server

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/inbound"
	"dooryard.example/dooryard/internal/secret"
	"dooryard.example/dooryard/internal/socket"
	"dooryard.example/dooryard/pkg/config"
)

// Listen opens a listener. Tests replace it.
type Listen func(network, address string) (net.Listener, error)

// ListenTCP opens a listener without Multipath TCP, whose sockets can't drop new connections.
func ListenTCP(network, address string) (net.Listener, error) {
	return listenTCP(network, address, func(syscall.RawConn) {})
}

// ListenBuffered opens listeners as ListenTCP does. The kernel holds at most about this number of bytes of a connection
// that were not read; otherwise it may hold megabytes of each.
func ListenBuffered(unreadBytes int) Listen {
	return func(network, address string) (net.Listener, error) {
		return listenTCP(network, address, func(raw syscall.RawConn) {
			// A kernel that refuses it uses its own limits.
			_ = socket.SetUnreadBytes(raw, unreadBytes)
		})
	}
}

// Keep-alive probes, as package net sets them on accepted connections.
const (
	keepAliveS      = 15
	keepAliveProbes = 9
)

// listenTCP opens a listener. Connections inherit the options of its socket, so that each accept needs fewer calls.
func listenTCP(network, address string, setOptions func(raw syscall.RawConn)) (net.Listener, error) {
	c := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		setOptions(raw)
		return raw.Control(func(fd uintptr) {
			for option, value := range map[[2]int]int{
				{unix.SOL_SOCKET, unix.SO_KEEPALIVE}:   1,
				{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE}:  keepAliveS,
				{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL}: keepAliveS,
				{unix.IPPROTO_TCP, unix.TCP_KEEPCNT}:   keepAliveProbes,
			} {
				// Without an option, those of the system hold.
				_ = unix.SetsockoptInt(int(fd), option[0], option[1], value)
			}
		})
	}}
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), network, address) //nolint:wrapcheck // Callers name the listener.
}

// Limits holds the limits of every listener of a box.
type Limits struct {
	MaxHeaderBytes  int
	HeaderTimeoutMs clock.Millis
	IdleTimeoutMs   clock.Millis
	// MaxConnections is the maximum number of simultaneous connections. Beyond it, a new connection takes the place of
	// one that its caller keeps idle.
	MaxConnections int
}

// Default values of the limits.
const (
	defaultHeaderTimeoutMs = 10_000
	defaultIdleTimeoutMs   = 120_000
	defaultMaxConnections  = 50_000
)

// LimitsOf returns the limits from the settings. It stores the defaults in settings
// that are not set.
func LimitsOf(settings *config.Router) Limits {
	r := &settings.Request
	config.SetDefault(&r.HeaderTimeoutMs, defaultHeaderTimeoutMs)
	config.SetDefault(&r.IdleTimeoutMs, defaultIdleTimeoutMs)
	return Limits{
		MaxHeaderBytes:  r.MaxHeaderBytes,
		HeaderTimeoutMs: clock.Millis(r.HeaderTimeoutMs),
		IdleTimeoutMs:   clock.Millis(r.IdleTimeoutMs),
		MaxConnections:  defaultMaxConnections,
	}
}

// Server serves one listener with a handler.
type Server struct {
	name    string
	server  *http.Server
	conns   *inbound.Listener
	serves  net.Listener
	clock   clock.Clock
	onPanic func(trace string)
	// holdsEnds is set by WithHeldEnds.
	holdsEnds bool
	// closingMs is until when responses close connections only if nothing waits on them, or zero while they close none.
	closingMs atomic.Int64
	// cut ends the contexts of all requests.
	cut context.CancelCauseFunc
}

// Option configures a Server in Open.
type Option func(*Server)

// WithOnPanic sets the function that is called with the trace of each handler that panicked.
func WithOnPanic(onPanic func(trace string)) Option { return func(s *Server) { s.onPanic = onPanic } }

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithHeldEnds answers callers that have ended their side of the connection while their request is processed, unless
// they have left. It has no effect on TLS connections.
func WithHeldEnds() Option { return func(s *Server) { s.holdsEnds = true } }

// Open opens a listener. Requests are handled once Serve is called.
func Open(
	name string, settings config.Listener, limits Limits, handler http.Handler, listen Listen, options ...Option,
) (*Server, error) {
	s := &Server{name: name, clock: clock.New(), onPanic: func(string) {}}
	for _, option := range options {
		option(s)
	}
	listener, err := listen("tcp", settings.Address)
	if err != nil {
		return nil, fmt.Errorf("%s listener: %w", name, err)
	}
	if err := s.setListener(listener, settings.TLS, limits.MaxConnections); err != nil {
		return nil, errors.Join(fmt.Errorf("%s listener: %w", name, err), listener.Close())
	}
	requests, cut := context.WithCancelCause(context.Background())
	s.cut = cut
	s.server = &http.Server{
		Handler:           s.onConnections(handler),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeoutMs.Duration(),
		IdleTimeout:       limits.IdleTimeoutMs.Duration(),
		ErrorLog:          log.New(panicWriter{onPanic: s.onPanic}, "", 0),
		BaseContext:       func(net.Listener) context.Context { return requests },
	}
	inbound.Attach(s.server, s.clock.Monotonic)
	return s, nil
}

// setListener sets the listener that accepts connections, and the one that the HTTP server serves.
func (s *Server) setListener(listener net.Listener, settings config.TLS, maxConnections int) error {
	options := []inbound.Option{}
	if s.holdsEnds {
		options = append(options, inbound.WithHeldEnds())
	}
	if !settings.Enabled() {
		s.conns = inbound.NewListener(listener, maxConnections, nil, s.clock, options...)
		s.serves = s.conns
		return nil
	}
	certificate, err := newCertificateReloader(settings)
	if err != nil {
		return err
	}
	s.conns = inbound.NewListener(listener, maxConnections, nil, s.clock, append(options, inbound.WithEncryption())...)
	s.serves = tls.NewListener(s.conns, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: certificate.get})
	return nil
}

// onConnections returns a handler whose responses tell callers to close their connections once the server stops, and
// never look complete when they are not.
func (s *Server) onConnections(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := inbound.ConnOf(r.Context())
		announce := func(header http.Header) {
			if c.GivesWay() || s.closes(c) {
				header.Set("Connection", "close")
			}
		}
		writer := exchange.NewWriter(w)
		writer.OnStart(func(header http.Header) {
			announce(header)
			c.BeginResponse(r, header)
		})
		handler.ServeHTTP(writer, r)
		if !writer.Started() {
			announce(writer.Header())
		}
		c.EndResponse(writer.FlushNow)
	})
}

const (
	// panicPrefix begins the message of net/http about a handler that panicked.
	panicPrefix = "http: panic serving"
	// maxTraceBytes limits the trace of a panic.
	maxTraceBytes = 4096
)

// panicWriter receives the log lines of net/http. It reports panics of handlers and drops the others, which report
// broken connections of callers.
type panicWriter struct{ onPanic func(trace string) }

// Write implements io.Writer.
func (w panicWriter) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, []byte(panicPrefix)) {
		w.onPanic(strings.TrimSpace(string(line[:min(len(line), maxTraceBytes)])))
	}
	return len(line), nil
}

// Address returns the address to which the listener is bound.
func (s *Server) Address() string { return s.conns.Addr().String() }

// errPanicked means that a listener is closed after a panic.
var errPanicked = errors.New("listener panicked")

// Serve handles requests until Drain or Close is called.
func (s *Server) Serve() error {
	err := errPanicked
	// The HTTP server closes its listener in a panic.
	guard.Do(s.name+" listener", func() { err = s.server.Serve(s.serves) })
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("%s listener: %w", s.name, err)
}

// closes reports whether the connection of a response is closed because the server stops.
func (s *Server) closes(c *inbound.Conn) bool {
	switch untilMs := s.closingMs.Load(); {
	case untilMs == 0:
		return false
	case int64(s.clock.Monotonic()) < untilMs:
		return !c.Pipelined()
	default:
		// A caller that always sends more would never be told.
		return !c.IsAhead()
	}
}

// AnnounceClose makes responses tell callers to close their connections. In the first half of the grace period,
// whatever waits on a connection is answered before, and then only what was read.
func (s *Server) AnnounceClose(grace clock.Millis) {
	s.closingMs.Store(int64(s.clock.Monotonic() + max(1, grace/2)))
}

// Drain closes the listener and serves the requests that have arrived and those that arrive on open connections, until
// no connection is left. It returns the context's error if that ends before.
func (s *Server) Drain(ctx context.Context) error {
	if err := errors.Join(s.conns.Drain(ctx), ctx.Err()); err != nil {
		return fmt.Errorf("%s listener: %w", s.name, err)
	}
	return nil
}

// Cut ends the contexts of requests with exchange.ErrStopping as their cause, and waits for their last responses until
// no connection is left or the context ends.
func (s *Server) Cut(ctx context.Context) {
	s.cut(exchange.ErrStopping)
	s.conns.CloseIdle(ctx)
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() { _ = s.server.Close() }

// RequireKey wraps a handler and responds with status 401 to requests that have none
// of the bearer keys.
func RequireKey(keys *secret.Keys, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found || !keys.Accept(key) {
			apierror.New(http.StatusUnauthorized, "unknown_key", "Authorization: a known bearer key is needed").Write(w)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// certificateReloader holds a TLS key pair and reloads it from its files.
type certificateReloader struct {
	settings config.TLS
	now      func() time.Time

	mu        sync.Mutex
	pair      *tls.Certificate
	checkedAt time.Time
}

// certificateCheckInterval is the minimum time between two reads of the files.
const certificateCheckInterval = 10 * time.Second

func newCertificateReloader(settings config.TLS) (*certificateReloader, error) {
	c := &certificateReloader{settings: settings, now: time.Now}
	return c, c.reload()
}

func (c *certificateReloader) reload() error {
	pair, err := tls.LoadX509KeyPair(c.settings.CertificateFile, c.settings.KeyFile)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	c.pair = &pair
	c.checkedAt = c.now()
	return nil
}

// get returns the key pair. It reads the files again if the last read is older than
// certificateCheckInterval. If the files do not match, as during an update, the
// previous pair stays in use.
func (c *certificateReloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now().Sub(c.checkedAt) > certificateCheckInterval {
		_ = c.reload()
		c.checkedAt = c.now()
	}
	return c.pair, nil
}
