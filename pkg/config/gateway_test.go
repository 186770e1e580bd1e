package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const gatewayFile = `box: a-1
failure_domain: a
callers_address: 127.0.0.1:1
readiness_address: 127.0.0.1:2
peers_address: 127.0.0.1:3
store: {address: "127.0.0.1:4"}
`

func TestParseGateway(t *testing.T) {
	t.Run("accepts a complete file", func(t *testing.T) {
		settings, err := ParseGateway("f", []byte(gatewayFile+"freshness: {max_age_ms: 5000}\nretry_budget: {ratio: 0.2, slack: 58}\npace: {learn: true}\n"))
		require.NoError(t, err)
		assert.True(t, settings.Pace.Learn)
		assert.Equal(t, int64(5000), settings.Freshness.MaxAgeMs)
	})
	t.Run("accepts an empty value, which means the default", func(t *testing.T) {
		_, err := ParseGateway("f", []byte(gatewayFile+"freshness:\n  max_age_ms: \n"))
		require.NoError(t, err)
	})
	t.Run("admission is off unless it is enabled", func(t *testing.T) {
		settings, err := ParseGateway("f", []byte(gatewayFile+"platform_terms: []\nadmission: {}\n"))
		require.NoError(t, err)
		assert.False(t, settings.Admission.Enabled)
		assert.Empty(t, settings.PlatformTerms)
		settings, err = ParseGateway("f", []byte(gatewayFile+"platform_terms: [\"a\", \"b\"]\nadmission: {enabled: true}\n"))
		require.NoError(t, err)
		assert.True(t, settings.Admission.Enabled)
		assert.Equal(t, []string{"a", "b"}, settings.PlatformTerms)
	})
	for name, c := range map[string]struct{ line, want string }{
		"unknown key":      {"speed: 1\n", "speed"},
		"number too large": {"balance: {bound_percent: 5000}\n", "f:7: balance.bound_percent: 5000 is outside"},
		"ratio":            {"retry_budget: {ratio: 2}\n", "f:7: retry_budget.ratio"},
		"contact":          {"contacts: [\"127.0.0.1:1\", \"host:1\"]\n", "contacts[1]"},
		"load cap":         {"balance: {load_cap: 0.5}\n", "f:7: balance.load_cap"},
		"admission":        {"admission: {enabled: often}\n", "f:7"},
		"admission key":    {"admission: {speed: 1}\n", "speed"},
		"empty term":       {"platform_terms: [\"a\", \"\"]\n", "f:7: platform_terms[1]: is empty"},
		"list of terms":    {"platform_terms: a\n", "f:7"},
		"nested term":      {"platform_terms: [{a: b}]\n", "f:7"},
		"negative grace":   {"shutdown: {grace_s: -1}\n", "f:7: shutdown.grace_s"},
	} {
		t.Run("reports the key and the line of an invalid "+name, func(t *testing.T) {
			_, err := ParseGateway("f", []byte(gatewayFile+c.line))
			require.ErrorIs(t, err, ErrInvalid)
			assert.ErrorContains(t, err, c.want)
		})
	}
	t.Run("reports missing keys", func(t *testing.T) {
		_, err := ParseGateway("f", []byte("box: a\n"))
		require.ErrorIs(t, err, ErrInvalid)
		for _, key := range []string{"failure_domain", "callers_address", "store.address"} {
			assert.ErrorContains(t, err, key)
		}
	})
}
