package position

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOrder(t *testing.T) {
	ordered := []Position{{}, At(0, 9), At(1, 0), At(1, 3), At(2, 1)}
	for i, p := range ordered {
		for j, q := range ordered {
			t.Run(p.String()+" and "+q.String(), func(t *testing.T) {
				assert.Equal(t, i < j, p.Before(q))
				assert.Equal(t, ordered[max(i, j)], Max(p, q))
			})
		}
	}
}

func TestEncoding(t *testing.T) {
	t.Run("as text", func(t *testing.T) {
		data, err := json.Marshal(At(2, 40))
		require.NoError(t, err)
		assert.Equal(t, `"2:40"`, string(data))
		var p Position
		require.NoError(t, json.Unmarshal(data, &p))
		assert.Equal(t, At(2, 40), p)
	})
	t.Run("as compact CBOR", func(t *testing.T) {
		data, err := cbor.Marshal(At(2, 40))
		require.NoError(t, err)
		assert.LessOrEqual(t, len(data), 4)
		var p Position
		require.NoError(t, cbor.Unmarshal(data, &p))
		assert.Equal(t, At(2, 40), p)
	})
	for _, text := range []string{"", "7", "a:1", "1:b", "-1:2", "1:-2", "1:2:3"} {
		t.Run("rejects "+text, func(t *testing.T) {
			var p Position
			require.ErrorIs(t, p.UnmarshalText([]byte(text)), ErrInvalid)
		})
	}
}
