package opaque

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/streams"
)

func TestHop(t *testing.T) {
	t.Run("arrives with the origin of the stream that the request continues", func(t *testing.T) {
		for _, origin := range []streams.OriginKey{streams.Unknown, 1, 1<<32 - 1} {
			sent := Hop{Box: "b", Sent: 1, ElapsedMs: 20, Version: 3, Origin: origin}
			header := http.Header{}
			sent.SetHeader(header)
			got, err := ParseHop(header)
			require.NoError(t, err)
			assert.Equal(t, sent, got)
			assert.Empty(t, header, "nothing of the hop reaches the upstream")
		}
	})
	t.Run("is refused with an invalid origin", func(t *testing.T) {
		for _, value := range []string{"x", "-1", "100000000"} {
			header := http.Header{}
			Hop{Box: "b"}.SetHeader(header)
			header.Set(headerOrigin, value)
			_, err := ParseHop(header)
			require.ErrorContains(t, err, headerOrigin)
		}
	})
}
