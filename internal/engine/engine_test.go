package engine

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readEvents returns the data of all events of a stream and its first error.
func readEvents(text string) (data []string, last error) {
	for event, err := range Events(strings.NewReader(text)) {
		if err != nil {
			return data, err
		}
		data = append(data, event.Data)
	}
	return data, nil
}

func TestEvents(t *testing.T) {
	t.Run("end after the final event", func(t *testing.T) {
		data, err := readEvents("id: 0\ndata: a\n\nid: 1\ndata: [DONE]\n\nid: 2\ndata: more\n\n")
		require.NoError(t, err)
		assert.Equal(t, []string{"a", Done}, data)
	})
	t.Run("are truncated without the final event", func(t *testing.T) {
		_, err := readEvents("id: 0\ndata: a\n\n")
		assert.ErrorIs(t, err, ErrTruncated)
	})
	t.Run("are truncated if the stream ends within an event", func(t *testing.T) {
		data, err := readEvents("id: 0\ndata: a\n\nid: 1\ndata: [DO")
		require.ErrorIs(t, err, ErrTruncated)
		assert.Equal(t, []string{"a"}, data)
	})
	t.Run("with an invalid id are rejected", func(t *testing.T) {
		_, err := readEvents("id: x\ndata: a\n\n")
		assert.ErrorIs(t, err, ErrMalformedEvent)
	})
}

func TestChatRequest(t *testing.T) {
	const good = `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	t.Run("has the same opening regardless of white space", func(t *testing.T) {
		one, err := ParseChatRequest([]byte(good), 10)
		require.NoError(t, err)
		two, err := ParseChatRequest([]byte(strings.ReplaceAll(good, ":", " : ")), 10)
		require.NoError(t, err)
		assert.Equal(t, one.Opening(), two.Opening())
	})
	for name, c := range map[string]struct{ body, want string }{
		"model":      {`{"messages":[1]}`, "model: is missing"},
		"messages":   {`{"model":"m"}`, "messages: must have at least one"},
		"wrong type": {`{"model":5}`, "model: must not be a number"},
		"not JSON":   {`{"model":`, "body: not JSON"},
		"too deep":   {strings.Repeat("[", 20), "nested deeper than 10"},
		"not a list": {`[]`, "must not be a array"},
		"long name":  {`{"model":"` + strings.Repeat("m", 300) + `","messages":[1]}`, "model: longer"},
	} {
		t.Run("names the invalid field: "+name, func(t *testing.T) {
			_, err := ParseChatRequest([]byte(c.body), 10)
			require.ErrorIs(t, err, ErrInvalidRequest)
			assert.Contains(t, err.Error(), c.want)
		})
	}
}

func FuzzParseChatRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"\"x\\"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := ParseChatRequest(body, 16)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalidRequest)
			return
		}
		chat.Opening()
	})
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 0\ndata: a\n\ndata: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := readEvents(text); err != nil && !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrMalformedEvent) {
			t.Fatalf("unexpected error %v", err)
		}
	})
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"in_flight":1,"slots":4,"models":["m"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var load Load
		if err := json.Unmarshal(data, &load); err == nil && load.InFlight < 0 {
			t.Fatal("decoded a negative load")
		}
	})
}
