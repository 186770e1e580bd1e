package gateway

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"time"

	"dooryard.example/dooryard/pkg/config"
)

// Defaults of the settings, and limits of the listeners.
const (
	// defaultMaxPropagationMs is about the time within which operators expect a new version to take effect.
	defaultMaxPropagationMs = 2000
	// defaultMaxDrainNoticeMs is about the shortest delay that a caller notices.
	defaultMaxDrainNoticeMs = 2000
	// defaultLoadCap is a common limit on an upstream's load, as a multiple of the mean load.
	defaultLoadCap = 2
	// boundShareOfCap is the share of the load cap at which a box stops sending to an upstream. The rest of the cap is
	// left for requests of other boxes that this box does not know of yet. With a share of 0.825 and a bound that
	// allowed one request less, a tenth of all prompts moved to another engine and were prefilled again or transferred
	// needlessly.
	boundShareOfCap    = 0.9
	defaultEjectBaseMs = 1000
	defaultEjectMaxMs  = 8000
	// defaultPanicPercent is the maximum percentage of a pool that may be ejected. It is so high that a box that is
	// partitioned from all other failure domains can eject their upstreams and use only those of its own domain.
	defaultPanicPercent = 85
	defaultMaxLines     = 400
	defaultMemoryMb     = 256
	defaultOpenFiles    = 4096
	defaultRatio        = 0.2
	defaultSlack        = 50
	defaultWindowS      = 10
	// defaultMinCrashes is the number of upstreams that operators accept to lose to one request before it is
	// quarantined.
	defaultMinCrashes = 3
	// defaultHoldMs is long compared to the seconds in which an upstream restarts, and short compared to the days
	// in which its software is fixed.
	defaultHoldMs = 600_000
	// logQueueSize is about one second of log lines at the default rate limit.
	logQueueSize = 512

	// headerTimeout is several times what operators usually allow a caller for its request headers. It only closes
	// stuck connections.
	headerTimeout = 15 * time.Second
	// idleTimeout is longer than the idle time that operators usually allow a caller, so that no request arrives
	// while its connection is being closed.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is more than operators usually allow. Their own limit is part of the routing state and is
	// enforced by the receive step.
	maxHeaderBytes     = 256 << 10
	connectionsDivisor = 2
	reservedFiles      = 200
)

// defaults returns the settings with defaults applied.
func defaults(g config.Gateway) config.Gateway {
	config.SetDefault(&g.Freshness.MaxPropagationMs, defaultMaxPropagationMs)
	config.SetDefault(&g.Freshness.MaxDrainNoticeMs, defaultMaxDrainNoticeMs)
	config.SetDefault(&g.Balance.LoadCap, defaultLoadCap)
	config.SetDefault(&g.Balance.BoundPercent, max(percent+1, int(g.Balance.LoadCap*percent*boundShareOfCap)))
	config.SetDefault(&g.Balance.EjectBaseMs, defaultEjectBaseMs)
	config.SetDefault(&g.Balance.EjectMaxMs, defaultEjectMaxMs)
	config.SetDefault(&g.Balance.PanicPercent, defaultPanicPercent)
	if g.Quarantine.MinCrashes == nil {
		ends := defaultMinCrashes
		g.Quarantine.MinCrashes = &ends
	}
	config.SetDefault(&g.Quarantine.HoldMs, defaultHoldMs)
	config.SetDefault(&g.LogLimits.MaxPerSecond, defaultMaxLines)
	config.SetDefault(&g.Capacity.MemoryMb, defaultMemoryMb)
	config.SetDefault(&g.Capacity.OpenFiles, defaultOpenFiles)
	config.SetDefault(&g.Budget.Ratio, defaultRatio)
	config.SetDefault(&g.Budget.Slack, defaultSlack)
	config.SetDefault(&g.Budget.WindowS, defaultWindowS)
	config.SetDefault(&g.Shutdown.GraceS, defaultGraceS)
	return g
}

// openListeners starts to serve on all configured addresses. The channel receives the error of a listener that fails.
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
		{"peers", settings.PeersAddress, b.peersHandler()},
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
	listener = newCallerListener(listener, max(1, (files-reservedFiles)/connectionsDivisor), b.responses, b.clock)
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0), ConnContext: withCallerConn,
		ConnState: trackIdle(b.clock.Monotonic),
	}
	b.servers = append(b.servers, s)
	b.goroutines.Go(func() {
		if err := s.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("%s listener: %w", name, err)
		}
	})
	return nil
}

func (b *Box) closeListeners() {
	for _, s := range b.servers {
		// Remaining connections are closed; stop has already waited for their requests.
		_ = s.Close()
	}
}
