package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPrefillTimes(t *testing.T) {
	observe := func(r *prefillTimes, fixed, perToken float64, tokens ...int) {
		for range 400 {
			for _, n := range tokens {
				r.observe(n, fixed+perToken*float64(n))
			}
		}
	}
	for _, c := range []struct {
		tokens          []int
		fixed, perToken float64
	}{{[]int{800, 1300, 11_800}, 10, 0.05}, {[]int{1000}, 0, 0.06}, {[]int{0}, 10, 0}} {
		t.Run(fmt.Sprintf("both parts are found from prompts of %v tokens", c.tokens), func(t *testing.T) {
			r := &prefillTimes{}
			observe(r, 10, 0.05, c.tokens...)
			assert.InDelta(t, c.fixed, r.fixed, 0.1)
			assert.InDelta(t, c.perToken, r.perToken, 0.001)
		})
	}
	t.Run("engines that become slower aren't taken for fast ones", func(t *testing.T) {
		r := &prefillTimes{}
		observe(r, 10, 0.05, 800, 11_800)
		observe(r, 30, 0.15, 800, 11_800)
		assert.InDelta(t, 0.15, r.perToken, 0.01)
	})
}
