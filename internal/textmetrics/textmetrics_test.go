package textmetrics

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
)

// scrape returns the response to a client with the Accept header of Prometheus.
func scrape(values *expvar.Map, gauges ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody)
	r.Header.Set("Accept", "application/openmetrics-text;version=1.0.0;q=0.6,text/plain;version=0.0.4;q=0.5,*/*;q=0.1")
	w := httptest.NewRecorder()
	Handler(values, gauges...).ServeHTTP(w, r)
	return w
}

func TestValues(t *testing.T) {
	type inner struct {
		Bytes int64 `json:"bytes"`
	}
	computed := func(v any) expvar.Var { return expvar.Func(func() any { return v }) }
	for _, c := range []struct {
		name  string
		value expvar.Var
		lines []string
	}{
		{"a counter", new(expvar.Int), []string{"dooryard_x_total 0"}},
		{"a number", computed(2.5), []string{"dooryard_x 2.5"}},
		{"a flag", computed(true), []string{"dooryard_x 1"}},
		{"a map", computed(map[string]int{"a": 1, "b": 2}), []string{`dooryard_x{key="a"} 1`, `dooryard_x{key="b"} 2`}},
		{"maps in a map", computed(map[string]map[string]int{"a": {"b": 1}}), []string{`dooryard_x{key="a",key_2="b"} 1`}},
		{"fields", computed(struct {
			Held   inner  `json:"held"`
			Name   string `json:"name"`
			Hidden int    `json:"-"`
		}{Held: inner{7}}), []string{"dooryard_x_held_bytes 7"}},
		{"a key with bytes that no label may contain", computed(map[string]int{"\xff\n": 1}), []string{`dooryard_x{key="` + "\uFFFD" + `\n"} 1`}},
		{"no number", computed("text"), nil},
		{"nothing", computed(nil), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			values := new(expvar.Map).Init()
			values.Set("x", c.value)
			w := scrape(values)
			assert.Equal(t, http.StatusOK, w.Code)
			assert.Contains(t, w.Header().Get("Content-Type"), "text/plain")
			for _, line := range c.lines {
				assert.Contains(t, w.Body.String(), "\n"+line+"\n")
			}
			if c.lines == nil {
				assert.NotContains(t, w.Body.String(), "dooryard_x")
			}
			assert.Contains(t, w.Body.String(), "\nprocess_resident_memory_bytes ")
		})
	}
	t.Run("a gauge that is counted", func(t *testing.T) {
		values := new(expvar.Map).Init()
		values.Add("x", 3)
		assert.Contains(t, scrape(values, "x").Body.String(), "# TYPE dooryard_x gauge\ndooryard_x 3\n")
	})
}

// TestRequested guards against readers of JSON that get text, and against scrapes that get JSON.
func TestRequested(t *testing.T) {
	for accept, want := range map[string]bool{
		"": false, "*/*": false, "application/json": false, "text/html,application/xml;q=0.9,*/*;q=0.8": false, ";;": false,
		"text/plain": true, "application/openmetrics-text; version=1.0.0,text/plain;q=0.5": true, "*/*, text/plain;q=0.1": true,
	} {
		r := httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody)
		r.Header.Set("Accept", accept)
		assert.Equal(t, want, Requested(r), accept)
	}
}
