package config

import (
	"math"
	"os"
	"path/filepath"
	"strings"
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
	for _, line := range []string{
		"balance: {load_cap: .nan}\n", "balance: {load_cap: .inf}\n", "shutdown: {grace_s: .nan}\n",
		"retry_budget: {ratio: .nan}\n", "retry_budget: {window_s: 1e30}\n",
	} {
		t.Run("reports a number that is none: "+line, func(t *testing.T) {
			_, err := ParseGateway("f", []byte(gatewayFile+line))
			require.ErrorIs(t, err, ErrInvalid)
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

func adaptFile(t *testing.T, content string) (settings Gateway, changed, err error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "f")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return AdaptGateway(path)
}

func TestAdaptedGatewayStartsWithoutInvalidOptionalValues(t *testing.T) {
	for name, c := range map[string]struct {
		line string
		want func(g *Gateway)
	}{
		"last port below the first": {"peers_last_port: 2\n", func(g *Gateway) { g.PeersLastPort = 3 }},
		"last port far above it":    {"peers_last_port: 70000\n", func(g *Gateway) { g.PeersLastPort = 65_535 }},
		"number below its range":    {"freshness: {leave_ms: 100}\n", func(g *Gateway) { g.Freshness.MaxDrainNoticeMs = 650 }},
		"too many processors":       {"capacity: {processors: 1e9}\n", func(g *Gateway) { g.Capacity.Processors = maxProcessors }},
		"number above its range":    {"capacity: {memory_mb: 2000000}\n", func(g *Gateway) { g.Capacity.MemoryMb = million }},
		"ratio":                     {"retry_budget: {ratio: 2, slack: 7}\n", func(g *Gateway) { g.Budget = Budget{Ratio: 1, Slack: 7} }},
		"load cap":                  {"balance: {load_cap: 1}\n", func(g *Gateway) { g.Balance.LoadCap = math.Nextafter(1, 2) }},
		"negative grace":            {"shutdown: {grace_s: -1}\n", func(*Gateway) {}},
		"number that is none":       {"shutdown: {grace_s: .nan}\n", func(*Gateway) {}},
		"contact":                   {"contacts: [\"a:1\", \"127.0.0.1:1\"]\n", func(g *Gateway) { g.Contacts = []string{"127.0.0.1:1"} }},
		"metrics address":           {"metrics_address: here\n", func(*Gateway) {}},
		"empty term":                {"platform_terms: [\"\", \"a\"]\n", func(g *Gateway) { g.PlatformTerms = []string{"a"} }},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseGateway("f", []byte(gatewayFile+c.line))
			require.ErrorIs(t, err, ErrInvalid, "it stays an error where settings are checked")
			want, err := ParseGateway("f", []byte(gatewayFile))
			require.NoError(t, err)
			c.want(&want)
			settings, changed, err := adaptFile(t, gatewayFile+c.line)
			require.NoError(t, err)
			require.ErrorContains(t, changed, "f:7: ")
			for _, list := range []*[]string{&settings.Contacts, &settings.PlatformTerms} {
				if len(*list) == 0 {
					*list = nil
				}
			}
			assert.Equal(t, want, settings)
		})
	}
	for name, content := range map[string]string{
		"no store":        strings.Replace(gatewayFile, "store: ", "balance: {load_cap: 0.5}\n#", 1),
		"no address":      strings.Replace(gatewayFile, "callers_address: 127.0.0.1:1", "callers_address: 1", 1),
		"empty":           "",
		"text":            gatewayFile + "capacity: {memory_mb: much}\n",
		"processors":      gatewayFile + "capacity: {processors: many}\n",
		"large integer":   gatewayFile + "capacity: {open_files: 1e30}\n",
		"text, section":   gatewayFile + "balance: none\n",
		"unknown key":     gatewayFile + "freshnes: {max_age_ms: 2000}\n",
		"unknown bound":   gatewayFile + "freshness: {max_age: 2000}\n",
		"short bound":     gatewayFile + "freshness: {max_age_ms: 100}\n",
		"text for bound":  gatewayFile + "freshness: {max_age_ms: soon}\n",
		"no YAML":         gatewayFile + "balance: [\n",
		"second document": gatewayFile + "---\nbox: b\n",
	} {
		t.Run("is refused: "+name, func(t *testing.T) {
			_, _, err := adaptFile(t, content)
			require.ErrorIs(t, err, ErrInvalid)
		})
	}
}

// TestSettingsOfOtherReleases guards against a box that does not start, or does not reload, because of a key that a newer
// release has added.
func TestSettingsOfOtherReleases(t *testing.T) {
	const bound = gatewayFile + "freshness: {max_age_ms: 5000}\n"
	want, err := ParseGateway("f", []byte(bound))
	require.NoError(t, err)
	assertIgnored := func(t *testing.T, content string) {
		t.Helper()
		_, err := ParseGateway("f", []byte(content))
		require.ErrorIs(t, err, ErrInvalid, "it stays an error where settings are checked")
		require.True(t, OnlyUnknownKeys(err))
		settings, changed, err := adaptFile(t, content)
		require.NoError(t, err)
		require.ErrorContains(t, changed, ": field ")
		assert.Equal(t, want.Freshness, settings.Freshness)
		parsed, ignored, err := ParseKnown("f", []byte(content))
		require.NoError(t, err)
		assert.True(t, OnlyUnknownKeys(ignored))
		assert.Equal(t, settings.Freshness, parsed.Freshness)
	}
	for name, line := range map[string]string{
		"value":                "sidecar: x\n",
		"section":              "sidecar: {port: 1, names: [a, b]}\n",
		"key of a section":     "capacity: {accelerators: 2}\n",
		"several":              "sidecar: x\ncapacity: {accelerators: 2}\n",
		"section without keys": "sidecar:\n",
	} {
		t.Run(name, func(t *testing.T) { assertIgnored(t, bound+line) })
	}
	t.Run("beside no limit, which is said", func(t *testing.T) {
		settings, _, err := adaptFile(t, gatewayFile+"freshness: {max_age_ms: 0}\nsidecar: x\n")
		require.NoError(t, err)
		assert.Zero(t, settings.Freshness.MaxAgeMs)
	})
	for name, line := range map[string]string{
		"wrong type":   "sidecar: x\ncapacity: {memory_mb: much}\n",
		"out of range": "sidecar: x\ncapacity: {memory_mb: 2000000}\n",
	} {
		t.Run("a reload is refused: "+name, func(t *testing.T) {
			_, ignored, err := ParseKnown("f", []byte(bound+line))
			require.ErrorIs(t, err, ErrInvalid)
			assert.NoError(t, ignored)
		})
	}
}

// TestWholeValues guards against starts that wait for the rest of a file that is complete, or don't wait for one that is
// being written.
func TestWholeValues(t *testing.T) {
	const bound = gatewayFile + "freshness: {max_age_ms: 5000}\n"
	for name, c := range map[string]struct {
		content string
		whole   bool
	}{
		"number out of range":     {bound + "peers_last_port: 2\n", true},
		"several":                 {bound + "peers_last_port: 2\ncapacity: {memory_mb: 2000000}\nmetrics_address: here\n", true},
		"unknown key":             {bound + "sidecar: x", true},
		"cut number":              {bound + "peers_last_port: 2", false},
		"cut before the guard":    {gatewayFile + "peers_last_port: 2\n", false},
		"missing guard, section":  {gatewayFile + "peers_last_port: 2\nfreshness:\n  in_force_ms: 5000\n", false},
		"cut section":             {bound + "capacity: {memory_mb: 2", false},
		"empty":                   {"", false},
		"second document, a part": {bound + "---\nbo", false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseGateway("f", []byte(c.content))
			require.ErrorIs(t, err, ErrInvalid)
			assert.Equal(t, c.whole, HasWholeValues(err))
		})
	}
	assert.False(t, HasWholeValues(nil))
}

func TestPeersPorts(t *testing.T) {
	for line, want := range map[string][]string{
		"":                     {"127.0.0.1:3"},
		"peers_last_port:\n":   {"127.0.0.1:3"},
		"peers_last_port: 3\n": {"127.0.0.1:3"},
		"peers_last_port: 5\n": {"127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"},
	} {
		t.Run(line, func(t *testing.T) {
			settings, err := ParseGateway("f", []byte(gatewayFile+line))
			require.NoError(t, err)
			assert.Equal(t, want, settings.PeersAddresses())
			assert.Len(t, settings.PeersPorts(), len(want))
		})
	}
	t.Run("a range of more ports than boxes try is no error", func(t *testing.T) {
		settings, err := ParseGateway("f", []byte(gatewayFile+"peers_last_port: 1000\n"))
		require.NoError(t, err)
		ports := settings.PeersPorts()
		assert.Len(t, ports, maxPeersPorts)
		assert.Equal(t, 3+maxPeersPorts-1, ports[maxPeersPorts-1])
	})
	t.Run("an error names the field, its value and what is allowed", func(t *testing.T) {
		_, err := ParseGateway("f", []byte(gatewayFile+"peers_last_port: 2\n"))
		require.ErrorContains(t, err, "peers_last_port: 2 is outside 3 to 65535")
	})
}
