package prompt

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
)

func TestPrompt(t *testing.T) {
	head, session, own := Part{ID: "head", Tokens: 2000}, Part{ID: "session", Tokens: 500}, Part{ID: "own", Tokens: 10}
	t.Run("the last shared part is the session", func(t *testing.T) {
		assert.Equal(t, "session", Prompt{head, session, own}.Session())
		assert.Equal(t, Prompt{head, session}, Prompt{head, session, own}.Shared())
	})
	t.Run("a single part is the session and is not shared", func(t *testing.T) {
		assert.Equal(t, "own", Prompt{own}.Session())
		assert.Empty(t, Prompt{own}.Shared())
	})
	t.Run("an empty prompt has no session", func(t *testing.T) {
		assert.Empty(t, Prompt{}.Session())
		assert.Empty(t, Prompt{}.Shared())
	})
	t.Run("keys are in the order of the parts", func(t *testing.T) {
		assert.Equal(t, []KeyedPart{{namekey.Of("head"), 2000}, {namekey.Of("session"), 500}}, Prompt{head, session}.KeyedParts())
	})
}
