package routebench

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/route"
)

func runAll(t *testing.T, s Scenario, policies ...string) map[string]Result {
	t.Helper()
	results := map[string]Result{}
	for _, policy := range policies {
		result, err := Run(s, policy)
		require.NoError(t, err)
		results[policy] = result
	}
	return results
}

func TestGrants(t *testing.T) {
	for _, s := range Scenarios(1) {
		if s.Boxes > 9 {
			// The large scenarios take seconds; they are only run by the command.
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			results := runAll(t, s, route.PolicyGrants, route.PolicyRendezvousBound, PerfectKnowledge)
			grants, perfect := results[route.PolicyGrants], results[PerfectKnowledge]
			assert.GreaterOrEqual(t, grants.Reuse/perfect.Reuse, 0.95, "reuse relative to perfect knowledge")
			assert.LessOrEqual(t, grants.SurgeExcess, 1.0, "requests above the load bound during the surge")
			assert.Greater(t, grants.Reuse, 1.5*results[route.PolicyRendezvousBound].Reuse)
			assert.Less(t, grants.Asks, 2.1, "questions per request")
		})
	}
}

func TestBaselines(t *testing.T) {
	s := Scenarios(1)[1]
	results := runAll(t, s, route.PolicyLeastReported, route.PolicyRendezvous, route.PolicyTwoChoices)
	t.Run("the least reported load herds requests on stale reports", func(t *testing.T) {
		assert.Greater(t, results[route.PolicyLeastReported].SurgeSkew, 5.0)
	})
	t.Run("rendezvous hashing without a load bound overloads engines", func(t *testing.T) {
		assert.Greater(t, results[route.PolicyRendezvous].SurgeSkew, 1.5)
	})
	t.Run("two random choices without affinity reuse almost nothing", func(t *testing.T) {
		assert.Less(t, results[route.PolicyTwoChoices].Reuse, 0.1)
	})
}

func TestRunsAreSeeded(t *testing.T) {
	s := Scenarios(3)[1]
	s.LengthMs = 60 * clock.Second
	one, two := runAll(t, s, route.PolicyGrants), runAll(t, s, route.PolicyGrants)
	assert.Equal(t, one, two)
}

func TestUnknownPolicy(t *testing.T) {
	_, err := Run(Scenario{}, "none")
	assert.ErrorIs(t, err, route.ErrUnknownPolicy)
}
