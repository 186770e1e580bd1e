package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestCutConnectionsAreLogged guards against callers that get no complete response while no line tells which.
func TestCutConnectionsAreLogged(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		out := &logBuffer{}
		f.out = out
		f.upstream("u1", func(w http.ResponseWriter, r *http.Request) { writeEvents(1, 3, abortMidEvent)(w, r) })
		b := f.box(1)
		advance(f.t, time.Second)
		_, _, err := b.get("/stream/")
		require.Error(f.t, err)
		advance(f.t, time.Second)
		assert.Regexp(f.t, `"msg":"connection cut",.*"request":"1",.*"reason":"response_incomplete","sent_bytes":[1-9]`,
			out.String())
		assert.EqualValues(f.t, 1, b.count("connections_cut_response_incomplete"))
	})
}
