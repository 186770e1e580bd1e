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
	"time"

	"golang.org/x/net/netutil"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/secret"
	"dooryard.example/dooryard/pkg/config"
)

// Listen opens a listener. Tests replace it.
type Listen func(network, address string) (net.Listener, error)

// Limits holds the limits of every listener of a box.
type Limits struct {
	MaxHeaderBytes  int
	HeaderTimeoutMs clock.Millis
	IdleTimeoutMs   clock.Millis
	// MaxConnections is the maximum number of simultaneous connections.
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
	name     string
	server   *http.Server
	listener net.Listener
	onPanic  func(trace string)
}

// Option configures a Server in Open.
type Option func(*Server)

// WithOnPanic sets the function that is called with the trace of each handler that panicked.
func WithOnPanic(onPanic func(trace string)) Option { return func(s *Server) { s.onPanic = onPanic } }

// Open opens a listener. Requests are handled once Serve is called.
func Open(
	name string, settings config.Listener, limits Limits, handler http.Handler, listen Listen, options ...Option,
) (*Server, error) {
	listener, err := listen("tcp", settings.Address)
	if err != nil {
		return nil, fmt.Errorf("%s listener: %w", name, err)
	}
	listener = netutil.LimitListener(listener, limits.MaxConnections)
	if settings.TLS.Enabled() {
		certificate, err := newCertificateReloader(settings.TLS)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("%s listener: %w", name, err), listener.Close())
		}
		listener = tls.NewListener(listener, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: certificate.get})
	}
	s := &Server{name: name, listener: listener, onPanic: func(string) {}}
	for _, option := range options {
		option(s)
	}
	s.server = &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeoutMs.Duration(),
		IdleTimeout:       limits.IdleTimeoutMs.Duration(),
		ErrorLog:          log.New(panicWriter{onPanic: s.onPanic}, "", 0),
	}
	return s, nil
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
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve handles requests until Shutdown or Close is called.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("%s listener: %w", s.name, err)
}

// Shutdown closes the listener and waits for running requests to finish.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("%s listener: %w", s.name, err)
	}
	return nil
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
