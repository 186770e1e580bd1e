package bounds

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCheck(t *testing.T) {
	known := map[string]Bound{"bytes": {Value: 100, Tolerance: 0.05}, "reuse": {Value: 0.5, Tolerance: 0.02, HigherIsBetter: true}}
	for name, c := range map[string]struct {
		values    map[string]float64
		regressed bool
	}{
		"within the tolerance":  {map[string]float64{"bytes": 104, "reuse": 0.495}, false},
		"better":                {map[string]float64{"bytes": 50, "reuse": 0.9}, false},
		"more bytes":            {map[string]float64{"bytes": 106, "reuse": 0.5}, true},
		"less reuse":            {map[string]float64{"bytes": 100, "reuse": 0.48}, true},
		"a value without bound": {map[string]float64{"bytes": 100, "reuse": 0.5, "new": 1}, true},
		"a bound without value": {map[string]float64{"bytes": 100}, true},
	} {
		t.Run(name, func(t *testing.T) {
			err := Check(io.Discard, known, c.values)
			if c.regressed {
				assert.ErrorIs(t, err, ErrRegression)
			} else {
				assert.NoError(t, err)
			}
		})
	}
}
