// Package server opens the bounded listeners of a process.
package server

import (
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

// Listen opens a listener; tests replace it.
type Listen func(network, address string) (net.Listener, error)

// Limits bound every listener of a box.
type Limits struct {
	MaxHeaderBytes  int
	HeaderTimeoutMs clock.Millis
	IdleTimeoutMs   clock.Millis
	// MaxConnections is how many connections are open at once.
	MaxConnections int
}

// Defaults of the limits.
const (
	defaultHeaderTimeoutMs = 10_000
	defaultIdleTimeoutMs   = 120_000
	defaultMaxConnections  = 50_000
)

// LimitsOf returns the limits that the settings ask for.
func LimitsOf(settings *config.Router) Limits {
	r := &settings.Request
	config.Fill(&r.HeaderTimeoutMs, defaultHeaderTimeoutMs)
	config.Fill(&r.IdleTimeoutMs, defaultIdleTimeoutMs)
	return Limits{
		MaxHeaderBytes:  r.MaxHeaderBytes,
		HeaderTimeoutMs: clock.Millis(r.HeaderTimeoutMs),
		IdleTimeoutMs:   clock.Millis(r.IdleTimeoutMs),
		MaxConnections:  defaultMaxConnections,
	}
}

// Server is one listener with its handler.
type Server struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// Open opens a listener; requests are answered once Serve runs.
func Open(name string, settings config.Listener, limits Limits, handler http.Handler, listen Listen) (*Server, error) {
	listener, err := listen("tcp", settings.Address)
	if err != nil {
		return nil, fmt.Errorf("%s listener: %w", name, err)
	}
	listener = netutil.LimitListener(listener, limits.MaxConnections)
	if settings.TLS.Enabled() {
		files, err := newCertificate(settings.TLS)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("%s listener: %w", name, err), listener.Close())
		}
		listener = tls.NewListener(listener, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: files.get})
	}
	return &Server{
		name: name, listener: listener,
		server: &http.Server{
			Handler:           handler,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ReadHeaderTimeout: limits.HeaderTimeoutMs.Duration(),
			IdleTimeout:       limits.IdleTimeoutMs.Duration(),
			ErrorLog:          log.New(discard{}, "", 0),
		},
	}, nil
}

// discard drops net/http's own lines: they tell of callers' broken connections
// and are no JSON.
type discard struct{}

func (discard) Write(line []byte) (int, error) { return len(line), nil }

// Address returns the address that the listener got.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers requests until Shutdown or Close.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("%s listener: %w", s.name, err)
}

// Shutdown stops listening and waits for running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("%s listener: %w", s.name, err)
	}
	return nil
}

// Close ends all connections at once.
func (s *Server) Close() { _ = s.server.Close() }

// RequireKey answers 401 to requests without one of the keys.
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

// certificate is a key pair that is read again when its files change.
type certificate struct {
	settings config.TLS
	now      func() time.Time

	mu     sync.Mutex
	pair   *tls.Certificate
	readAt time.Time
}

const certificateCheck = 10 * time.Second

func newCertificate(settings config.TLS) (*certificate, error) {
	c := &certificate{settings: settings, now: time.Now}
	return c, c.read()
}

func (c *certificate) read() error {
	pair, err := tls.LoadX509KeyPair(c.settings.CertificateFile, c.settings.KeyFile)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	c.pair = &pair
	c.readAt = c.now()
	return nil
}

// get reads the files again now and then. Files that don't fit together, as in
// the middle of a change, leave the old pair in force.
func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now().Sub(c.readAt) > certificateCheck {
		_ = c.read()
		c.readAt = c.now()
	}
	return c.pair, nil
}
