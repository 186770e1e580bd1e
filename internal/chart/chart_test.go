package chart

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// assertWellFormed checks that data is well-formed XML.
func assertWellFormed(t *testing.T, data []byte) {
	t.Helper()
	decoder := xml.NewDecoder(bytes.NewReader(data))
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
	}
}

func TestBars(t *testing.T) {
	bars := []Bar{{Name: "fetch", Value: -0.029, Error: 0.002}, {Name: "retry", Value: 0.001, Error: 0.001}}
	var out, again bytes.Buffer
	require.NoError(t, Bars(&out, "a title", "worth", bars))
	assertWellFormed(t, out.Bytes())
	for _, text := range []string{"<svg", "a title", "worth", "fetch", "retry"} {
		assert.Contains(t, out.String(), text)
	}
	require.NoError(t, Bars(&again, "a title", "worth", bars))
	assert.Equal(t, out.String(), again.String(), "equal input gives equal output")
}
