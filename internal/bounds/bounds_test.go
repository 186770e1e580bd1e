package bounds

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCheck(t *testing.T) {
	known := map[string]Bound{"bytes": {Value: 100, Part: 0.05}, "reuse": {Value: 0.5, Part: 0.02, HigherIsBetter: true}}
	for name, c := range map[string]struct {
		figures map[string]float64
		worse   bool
	}{
		"within the part":        {map[string]float64{"bytes": 104, "reuse": 0.495}, false},
		"better":                 {map[string]float64{"bytes": 50, "reuse": 0.9}, false},
		"more bytes":             {map[string]float64{"bytes": 106, "reuse": 0.5}, true},
		"less reuse":             {map[string]float64{"bytes": 100, "reuse": 0.48}, true},
		"a figure without bound": {map[string]float64{"bytes": 100, "reuse": 0.5, "new": 1}, true},
		"a bound without figure": {map[string]float64{"bytes": 100}, true},
	} {
		t.Run(name, func(t *testing.T) {
			err := Check(io.Discard, known, c.figures)
			if c.worse {
				assert.ErrorIs(t, err, ErrWorse)
			} else {
				assert.NoError(t, err)
			}
		})
	}
}
