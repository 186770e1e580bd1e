package urlpath

import (
	"net/url"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestNormal guards against two paths that count as one, or equivalent paths that don't.
func TestNormal(t *testing.T) {
	for sent, want := range map[string]string{
		"/a/b": "/a/b", "/a%2Fb": "/a%2Fb", "/a%2fb": "/a%2Fb", "/a%252Fb": "/a%252Fb", "/%61%7e%2D": "/a~-",
		"/a%2Fé": "/a%2Fé", "/a%2F%C3%a9": "/a%2Fé", "/a%20b%3F": "/a b?", "/a;b%3bc": "/a;b%3Bc", "/a!%21": "/a!%21",
		"/%2e%2E/./x": "/.././x", "//a///b": "//a///b", "/%21": "/%21", "/a%22%2f": `/a"%2F`,
	} {
		t.Run(sent, func(t *testing.T) {
			u, err := url.ParseRequestURI(sent + "?q=%2F")
			require.NoError(t, err)
			assert.Equal(t, sent, Sent(u))
			assert.Equal(t, want, Normal(Sent(u)))
		})
	}
	t.Run("a percent sign that begins no escape", func(t *testing.T) {
		assert.Equal(t, "/50%25/%25a/%25", Normal("/50%/%a/%"))
	})
	t.Run("a path without escapes costs no allocation", func(t *testing.T) {
		u := &url.URL{Path: "/a/b!/c", RawPath: "/a/b!/c"}
		assert.Zero(t, testing.AllocsPerRun(100, func() { Normal(Sent(u)) }))
		u = &url.URL{Path: "/a/b/c"}
		assert.Zero(t, testing.AllocsPerRun(100, func() { Normal(Sent(u)) }))
	})
}
