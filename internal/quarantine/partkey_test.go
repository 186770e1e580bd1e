package quarantine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
)

func promptOf(ids ...string) prompt.Prompt {
	p := prompt.Prompt{}
	for _, id := range ids {
		p = append(p, prompt.Part{ID: id, Tokens: 1})
	}
	return p
}

func TestPartsOf(t *testing.T) {
	t.Run("the last part belongs to the request alone", func(t *testing.T) {
		parts := PartsOf("p", promptOf("a", "b", "own"))
		assert.Equal(t, Parts{Pool: namekey.Of("p"), Keys: []PartKey{PartKeyOf("a"), PartKeyOf("b")}}, parts)
		assert.Empty(t, PartsOf("p", promptOf("own")).Keys)
	})
	t.Run("a long prompt is judged by its first parts", func(t *testing.T) {
		ids := []string{}
		for i := range 4 * maxPartsPerRequest {
			ids = append(ids, fmt.Sprint(i))
		}
		assert.Len(t, PartsOf("p", promptOf(ids...)).Keys, maxPartsPerRequest)
	})
}

func BenchmarkPartsOf(b *testing.B) {
	for _, count := range []int{4, maxPartsPerRequest} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			ids := []string{}
			for i := range count {
				ids = append(ids, fmt.Sprint("5c1e07a2", i))
			}
			p := promptOf(ids...)
			b.ReportAllocs()
			for range b.N {
				_ = PartsOf("p", p)
			}
		})
	}
}
