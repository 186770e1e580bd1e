package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/load"
)

// TestFindsFaultsOfARouter guards against a run of dooryard-router that reports nothing.
func TestFindsFaultsOfARouter(t *testing.T) {
	sent := time.Now()
	const drained = (routerAnnounceMs + routerDrainMs) * time.Millisecond
	for _, c := range []struct {
		name  string
		play  func(r *routerRun)
		finds string
	}{
		{"a sound run", func(r *routerRun) {
			r.record(routerNew, sent, http.StatusOK, nil)
			r.record(routerNew, sent, http.StatusServiceUnavailable, nil)
			r.recordChat(shortChatTokens, load.Result{Verdict: load.Complete}, -time.Hour)
			r.recordChat(outlastsTokens, load.Result{Verdict: load.Refused}, drained)
			r.refusals = []refusal{{"router", sent, sent.Add(maxRefused + timingSlack), 0}}
		}, ""},
		{"as many lost requests as may cross a close", func(r *routerRun) {
			for range maxLostOnKept {
				r.record(routerKept, sent, 0, errors.New("EOF"))
			}
		}, ""},
		{"one more", func(r *routerRun) {
			for range maxLostOnKept + 1 {
				r.record(routerKept, sent, 0, errors.New("EOF"))
			}
		}, "4 of 4 requests without a complete response"},
		{"a sound request with another status", func(r *routerRun) {
			r.record(routerNew, sent, http.StatusUnauthorized, nil)
		}, "1 of 1 sound requests got the status 401"},
		{"a long chat that breaks", func(r *routerRun) {
			r.recordChat(outlastsTokens, load.Result{Verdict: load.ConnectionFailed}, drained)
		}, "a chat of 800 tokens"},
		{"a chat that ends before the drain is over", func(r *routerRun) {
			r.recordChat(shortChatTokens, load.Result{Verdict: load.Incomplete}, drained-time.Millisecond)
		}, "a chat of 200 tokens"},
		{"a next process that does not serve", func(r *routerRun) {
			r.refusals = []refusal{{"router", sent, sent.Add(maxRefused + timingSlack + time.Millisecond), 0}}
		}, "no answer for"},
		{"a process that ends by itself", func(r *routerRun) {
			r.process.exits = []exit{{status: "exit status 1"}}
		}, "exit status 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouterRun(Settings{Folder: t.TempDir()})
			var err error
			r.process, err = newProcess("", r.settings.Folder, "router", "")
			require.NoError(t, err)
			c.play(r)
			if err = r.fill(); c.finds == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrGuaranteeViolated)
			require.Len(t, r.report.Findings, 1)
			assert.Contains(t, r.report.Findings[0], c.finds)
		})
	}
}
