package gateway

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/routing"
)

// TestEscapedPaths guards against an escape in a path that selects another route, with its kind and its keys.
func TestEscapedPaths(t *testing.T) {
	for path, want := range map[string]string{
		"/unsafe/public%2Fx": "p", "/unsafe/public%2fx?y=%2F": "p", "/unsafe/public%2Fé": "p", "/unsafe/public%252F/": "p",
		"/unsafe/public/x%2Fy": "q", "/unsaf%65/%70ublic/x": "q", "/unsafe%2Fpublic/": "404 Not Found",
		"/unsafe/x/../public/": "p", "/unsafe/%2E%2e/public/": "p", "/unsafe//public/": "p", "//unsafe/": "404 Not Found",
		"/unsafe/public/%2": "400 Bad Request", "/unsafe/%zz": "400 Bad Request",
	} {
		t.Run(path, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t, nested, received := f.t, content(2), ""
				added := nested.Routes[0]
				added.PathPrefix, added.Splits = "/unsafe/public/", []routing.Split{{Pool: "q", Weight: 1}}
				nested.Routes, nested.Pools = append(nested.Routes, added), append(nested.Pools, routing.Pool{Name: "q"})
				f.store.setState(t, nested)
				for _, pool := range []string{"p", "q"} {
					address := f.server(pool, func(w http.ResponseWriter, r *http.Request) {
						w.Header()["X-Id"], received = r.Header["X-Id"], pool+" "+r.RequestURI
					})
					f.store.put(registry.Upstream{ID: pool, Pool: pool, Address: address, FailureDomain: "d", Slots: 8})
				}
				conn := f.box(1).sendRaw("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Id: 1\r\nAuthorization: " + key + "\r\n\r\n")
				defer func() { _ = conn.Close() }()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				if response.StatusCode == http.StatusOK {
					assert.Equal(t, want+" "+path, received)
				} else {
					assert.Equal(t, want, response.Status)
				}
			})
		})
	}
}
