package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestCopyHeader guards against forwarding headers that the sender meant for this connection only.
func TestCopyHeader(t *testing.T) {
	for name, connection := range map[string][]string{
		"each in a line of its own": {"x-one", "X-Two"},
		"in a list":                 {"x-one,X-Two"},
		"in a list with spaces":     {" x-one ,\tX-Two ", "close"},
		"in a list with gaps":       {",x-one,,X-Two,"},
	} {
		t.Run(name, func(t *testing.T) {
			source := http.Header{"X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"}, "Connection": connection}
			target := http.Header{}
			copyHeader(target, source)
			assert.Equal(t, http.Header{"X-Three": {"3"}}, target)
		})
	}
}
