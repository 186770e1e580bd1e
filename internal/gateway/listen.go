package gateway

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"dooryard.example/dooryard/internal/relay"
	"dooryard.example/dooryard/pkg/config"
)

// Defaults of the settings and limits of listeners.
const (
	// defaultInForceMs is about the time in which operators expect a new version to be
	// in force.
	defaultInForceMs = 2000
	// defaultLeaveMs is about the time that a caller notices.
	defaultLeaveMs = 2000
	// defaultLoadCap is a usual set multiple of the mean load.
	defaultLoadCap = 2
	// boundOfCap is the part of the cap at which a box stops sending to an
	// upstream: the rest is for what boxes don't know of each other yet. With 0.825
	// and one request of slack less, a tenth of all prompts left their engine and
	// were read or moved for nothing.
	boundOfCap         = 0.9
	defaultEjectBaseMs = 1000
	defaultEjectMaxMs  = 8000
	// defaultPanicPercent lets a box that is cut off from all other failure
	// domains use its own alone.
	defaultPanicPercent = 85
	defaultMaxLines     = 400
	defaultMemoryMb     = 256
	defaultOpenFiles    = 4096
	defaultRatio        = 0.2
	defaultSlack        = 50
	defaultWindowS      = 10
	// defaultAfterEnds is what operators allow a request to end.
	defaultAfterEnds = 3
	// defaultHoldMs is long against the seconds in which an upstream is back, and short
	// against the days in which what it runs is mended.
	defaultHoldMs = 600_000
	// waitingLines is about a second of lines at the default bound.
	waitingLines = 512

	// headerTimeout is several times what operators usually allow a caller for its
	// head: it only ends connections that are stuck.
	headerTimeout = 15 * time.Second
	// idleTimeout is more than operators usually let a caller rest, so that no
	// request crosses the close of its connection.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is more than operators usually allow; what they allow is a limit of
	// the routing state, and the step that receives requests keeps it.
	maxHeaderBytes   = 256 << 10
	connectionsShare = 2
	reservedFiles    = 200
)

func defaults(g config.Gateway) config.Gateway {
	config.Fill(&g.Freshness.InForceMs, defaultInForceMs)
	config.Fill(&g.Freshness.LeaveMs, defaultLeaveMs)
	config.Fill(&g.Balance.LoadCap, defaultLoadCap)
	config.Fill(&g.Balance.BoundPercent, max(percent+1, int(g.Balance.LoadCap*percent*boundOfCap)))
	config.Fill(&g.Balance.EjectBaseMs, defaultEjectBaseMs)
	config.Fill(&g.Balance.EjectMaxMs, defaultEjectMaxMs)
	config.Fill(&g.Balance.PanicPercent, defaultPanicPercent)
	if g.Quarantine.AfterEnds == nil {
		ends := defaultAfterEnds
		g.Quarantine.AfterEnds = &ends
	}
	config.Fill(&g.Quarantine.HoldMs, defaultHoldMs)
	config.Fill(&g.Lines.MaxPerSecond, defaultMaxLines)
	config.Fill(&g.Capacity.MemoryMb, defaultMemoryMb)
	config.Fill(&g.Capacity.OpenFiles, defaultOpenFiles)
	config.Fill(&g.Budget.Ratio, defaultRatio)
	config.Fill(&g.Budget.Slack, defaultSlack)
	config.Fill(&g.Budget.WindowS, defaultWindowS)
	config.Fill(&g.Shutdown.GraceS, defaultGraceS)
	return g
}

// openListeners starts answering on all addresses. The channel gets the error
// of a listener that fails.
func (b *Box) openListeners() (<-chan error, error) {
	settings := b.settings.Load()
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+b.readinessPath, b.readiness)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", b.metrics)
	failed := make(chan error, maxListeners)
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"readiness", settings.ReadinessAddress, ready},
		{"callers", settings.CallersAddress, b},
		{"peers", settings.PeersAddress, relay.Handler(b.belief, b.registry)},
		{"metrics", settings.MetricsAddress, metrics},
	} {
		if l.address == "" {
			continue
		}
		if err := b.open(l.name, l.address, l.handler, failed); err != nil {
			b.closeListeners()
			return nil, err
		}
	}
	return failed, nil
}

const maxListeners = 8

func (b *Box) open(name, address string, handler http.Handler, failed chan<- error) error {
	listener, err := b.listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%s listener: %w", name, err)
	}
	files := b.settings.Load().Capacity.OpenFiles
	listener = netutil.LimitListener(listener, max(1, (files-reservedFiles)/connectionsShare))
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}
	b.servers = append(b.servers, s)
	b.running.Go(func() {
		if err := s.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("%s listener: %w", name, err)
		}
	})
	return nil
}

func (b *Box) closeListeners() {
	for _, s := range b.servers {
		// Whatever is left is cut; the stop has waited for it.
		_ = s.Close()
	}
}
