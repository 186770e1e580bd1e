package pipeline

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/pkg/config"
)

// testStep is a step with a function for Run.
type testStep struct {
	run func(x *exchange.Exchange)
}

// String implements Step.
func (testStep) String() string { return "test" }

// Default implements Step.
func (testStep) Default(*config.Router) {}

// Run implements Step.
func (s testStep) Run(x *exchange.Exchange) error {
	s.run(x)
	return nil
}

// TestPanicIsAnswered guards against callers whose connections end without a response since a step panicked.
func TestPanicIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name   string
		begun  bool
		status int
	}{
		{"before a response", false, http.StatusBadGateway},
		{"in the midst of a response", true, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			settled, recorder := false, httptest.NewRecorder()
			p := Pipeline{logger: zap.NewNop(), steps: []Step{testStep{func(x *exchange.Exchange) {
				if c.begun {
					x.Writer.WriteHeader(http.StatusOK)
				}
				panic("broken")
			}}}, last: testStep{func(*exchange.Exchange) { settled = true }}}
			request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil)
			x := exchange.New(t.Context(), "1", recorder, request, exchange.Chat, 0)
			assert.PanicsWithValue(t, "broken", func() { p.Serve(x) }, "the server closes the connection")
			assert.True(t, settled)
			assert.Equal(t, c.status, recorder.Code)
			if !c.begun {
				assert.Equal(t, "close", recorder.Header().Get("Connection"))
				assert.Equal(t, string(exchange.Unknown), recorder.Header().Get(exchange.HeaderOutcome))
			}
		})
	}
}
