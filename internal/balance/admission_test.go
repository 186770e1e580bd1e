package balance

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/work"
)

// admissionFixture is a fixture with fake owners of its engines.
type admissionFixture struct {
	*fixture
	// replies are the owners' answers. The last one is given to all further asks.
	replies []admission.Reply
	// onAsk is called before an ask is answered, if it is set.
	onAsk             func(upstream *Member, a admission.Ask)
	asked             []string
	asks              []admission.Ask
	started, released []string
	served            int
}

func withOwners(f *fixture, replies ...admission.Reply) *admissionFixture {
	return &admissionFixture{fixture: f, replies: replies}
}

func (f *admissionFixture) admit(_ context.Context, l *Lease, a admission.Ask) admission.Reply {
	f.asked, f.asks = append(f.asked, l.ID), append(f.asks, a)
	if f.onAsk != nil {
		f.onAsk(l.Member, a)
	}
	reply := f.replies[0]
	f.replies = f.replies[min(1, len(f.replies)-1):]
	reply.Started = func() { f.started = append(f.started, l.ID) }
	reply.Release = func(served bool) {
		f.released = append(f.released, l.ID)
		if served {
			f.served++
		}
	}
	return reply
}

// Replies of owners.
func granted() admission.Reply {
	return admission.Reply{Answer: admission.Answer{Verdict: admission.Granted, StartInMs: 90}}
}

func denied(startInMs, drainMs clock.Millis) admission.Reply {
	return admission.Reply{Answer: admission.Answer{StartInMs: startInMs, DrainMs: drainMs}}
}

func unknown() admission.Reply { return admission.Reply{Unknown: true, OwnerAgeMs: 700} }

// repliesBefore returns replies that end with the last one, after denials of all engines if the prompt is to be queued.
func repliesBefore(queued bool, last admission.Reply) []admission.Reply {
	if !queued {
		return []admission.Reply{last}
	}
	return append(slices.Repeat([]admission.Reply{denied(100, 50)}, maxAdmissionAsks), last)
}

const (
	testObjectiveMs clock.Millis = 500
	testPatienceMs  clock.Millis = 3000
)

// prompted returns a prompt of a session that needs admission.
func prompted(session string) PickRequest {
	request := sticky(session)
	request.ObjectiveMs, request.ElapsedMs = testObjectiveMs, 20
	request.Admission = &AdmissionRequest{
		Demand: work.Demand{PromptTokens: 1010, SharedTokens: 1000}, OutputTokens: 90, Organisation: "one", Urgency: 2,
		MemoryTokens: 333_000, PatienceMs: testPatienceMs,
	}
	return request
}

func (f *admissionFixture) pickAdmitted(t *testing.T, request PickRequest) *Lease {
	t.Helper()
	l, err := f.PickWithAdmission(t.Context(), request, f.admit)
	require.NoError(t, err)
	return l
}

// refusal returns the error of a pick that no engine admits.
func (f *admissionFixture) refusal(t *testing.T, request PickRequest) OverloadedError {
	t.Helper()
	_, err := f.PickWithAdmission(t.Context(), request, f.admit)
	var overloaded *OverloadedError
	require.ErrorAs(t, err, &overloaded)
	require.ErrorIs(t, err, ErrOverloaded)
	require.ErrorIs(t, err, ErrNoUpstream)
	assert.Empty(t, f.InFlight(), "a refused prompt counts nowhere")
	return *overloaded
}

// finishPrefills teaches the box the time of a prefill.
func (f *fixture) finishPrefills(t *testing.T, tookMs clock.Millis) {
	t.Helper()
	owned := withOwners(f, granted())
	for i := range minPrefills {
		l := owned.pickAdmitted(t, prompted(string(rune('A'+i))))
		f.now += tookMs
		l.RecordFirstEvent()
		l.Release(Succeeded)
	}
}

// TestPickWithAdmission guards against prompts that are sent without their owner's grant, that wait where they would be
// late, or that are refused although an engine would take them.
func TestPickWithAdmission(t *testing.T) {
	t.Run("the session's engine is asked first, with the work of the prompt", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), granted())
		first := f.pick(t, sticky("s"))
		first.Release(Succeeded)
		l := f.pickAdmitted(t, prompted("s"))
		assert.Equal(t, first.ID, l.ID)
		assert.Equal(t, []admission.Ask{{
			Pool: namekey.Of("p"), Upstream: l.key, Organisation: namekey.Of("one"), Session: namekey.Of("s"), Urgency: 2,
			PrefillTokens: 10, OwnTokens: 100, SharedTokens: 1000, Slots: 8, MemoryTokens: 333_000,
			InTimeMs: 480, PatienceMs: testPatienceMs - refusalMs,
		}}, f.asks)
		cold := f.pickAdmitted(t, prompted("other"))
		assert.Equal(t, 1010, f.asks[1].PrefillTokens, "nothing is cached")
		assert.Len(t, f.InFlight(), 2)
		cold.Release(Neutral)
	})
	t.Run("the owner learns of the first event once, and of the end", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), granted())
		l := f.pickAdmitted(t, prompted("s"))
		l.RecordFirstEvent()
		l.RecordFirstEvent()
		assert.Equal(t, []string{l.ID}, f.started)
		l.Release(Succeeded)
		l.Release(Succeeded)
		assert.Equal(t, []string{l.ID}, f.released)
		assert.Equal(t, 1, f.served)
		assert.Zero(t, l.unstartedTokens)
		l = f.pickAdmitted(t, prompted("s"))
		l.Release(Broken)
		assert.Zero(t, l.unstartedTokens, "a prompt that ends without an event")
		assert.Equal(t, 1, f.served)
	})
	t.Run("a denied prompt asks other engines, those first that cache its parts", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), denied(100, 0), denied(100, 0), denied(100, 0), granted())
		order := rank("s", f.pools["p"])
		order[9].parts.record(namekey.Of("s"), f.now)
		l := f.pickAdmitted(t, prompted("s"))
		assert.Equal(t, []string{order[0].ID, order[9].ID, order[1].ID, order[2].ID}, f.asked)
		assert.Equal(t, order[2].ID, l.ID)
		assert.Empty(t, f.released)
		assert.Equal(t, map[namekey.Key]int{l.key: 1}, f.InFlight(), "engines that denied it don't count it")
		a, needed := l.Admission()
		assert.True(t, needed)
		assert.Len(t, a.Asked, 4)
	})
	t.Run("if all deny, it waits at the engine that would start it first", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), denied(400, 50), denied(300, 50), denied(200, 50), denied(310, 50), granted())
		f.onAsk = func(_ *Member, a admission.Ask) {
			assert.Equal(t, len(f.asked) == 5, a.MayQueue)
			if a.MayQueue {
				f.now += 180
			}
		}
		l := f.pickAdmitted(t, prompted("s"))
		require.Len(t, f.asked, 5)
		assert.Equal(t, f.asked[2], l.ID)
		a, _ := l.Admission()
		assert.EqualValues(t, 180, a.WaitedMs)
		assert.Len(t, a.Asked, 4)
	})
	t.Run("the time that asks take counts", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), denied(9000, 1000))
		f.onAsk = func(*Member, admission.Ask) { f.now += 20 }
		f.refusal(t, prompted("s"))
		assert.EqualValues(t, 420, f.asks[3].InTimeMs)
		assert.Equal(t, testPatienceMs-60-refusalMs, f.asks[3].PatienceMs)
	})
	for _, c := range []struct {
		name                  string
		engines, asked, waits int
		startInMs             clock.Millis
	}{
		{"without a wait if no engine would start it in time", 12, maxAdmissionAsks, 0, 481},
		{"if the owner that it waits at denies it", 12, maxAdmissionAsks, 1, 480},
		{"by the only engine of its pool", 1, 1, 1, 480},
	} {
		t.Run("it is refused "+c.name, func(t *testing.T) {
			f := withOwners(newFixture(t, c.engines), denied(c.startInMs, 700))
			e := f.refusal(t, prompted("s"))
			assert.Len(t, f.asked, c.asked+c.waits)
			assert.Len(t, e.Asked, c.asked)
			assert.EqualValues(t, 700, e.DrainMs())
			assert.Empty(t, f.released)
		})
	}
	t.Run("a forced request is sent whatever the owner answers", func(t *testing.T) {
		for _, reply := range []admission.Reply{granted(), denied(9000, 900), unknown()} {
			f := withOwners(newFixture(t, 12), reply)
			request := prompted("s")
			request.Admission.Force = true
			l := f.pickAdmitted(t, request)
			assert.Equal(t, []string{l.ID}, f.asked)
			assert.True(t, f.asks[0].Force)
			assert.False(t, f.asks[0].MayQueue)
			l.Release(Succeeded)
			assert.Equal(t, []string{l.ID}, f.released)
		}
	})
	t.Run("the request itself decides if no upstream takes work", func(t *testing.T) {
		f := withOwners(newFixture(t, 1), granted())
		f.SetEvacuations(evacuated(0, "d0"))
		_, err := f.PickWithAdmission(t.Context(), prompted("s"), f.admit)
		require.ErrorIs(t, err, ErrAllEvacuated)
		assert.Empty(t, f.asked)
	})
	t.Run("the load bound goes with the ask", func(t *testing.T) {
		f := withOwners(inLargeFleet(t, 120), granted())
		f.pickAdmitted(t, prompted("s"))
		assert.Equal(t, 17, f.asks[0].Bound, "as for a permit")
	})
}

// setCold makes an upstream cold: it takes one request a second.
func (f *fixture) setCold(l *Member) {
	f.SetColdStarts(map[string]ColdStart{"p": {RequestsPerSecond: 1, DurationMs: 60_000}})
	f.SetFleetSize(1)
	l.cold.entryUntilMs = f.now + 60_000
}

// TestAdmissionRecheck guards against a prompt that is sent to an engine that stopped taking work while the prompt was
// asking or waiting.
func TestAdmissionRecheck(t *testing.T) {
	for name, change := range map[string]func(f *fixture, l *Member){
		"evacuated": func(f *fixture, l *Member) { f.SetEvacuations(evacuated(-1, l.FailureDomain)) },
		"draining":  func(f *fixture, l *Member) { f.setEntry(l.ID, func(u *registry.Upstream) { u.Draining = true }) },
		"gone": func(f *fixture, l *Member) {
			f.list = slices.DeleteFunc(slices.Clone(f.list), func(u registry.Upstream) bool { return u.ID == l.ID })
			f.SetUpstreams(f.list)
		},
		"restarted":   func(f *fixture, l *Member) { f.restart(l.ID) },
		"backing off": func(f *fixture, l *Member) { l.backOff(f.now, f.now+5000, "1") },
		"ejected":     func(f *fixture, l *Member) { l.setHealth(l.health.WithUnreachable(f.now, f.settings.Health), f.now) },
		"cold": func(f *fixture, l *Member) {
			f.setCold(l)
			l.cold.sentMs = []clock.Millis{f.now}
		},
		"behind a partition": func(f *fixture, l *Member) { f.RecordProbe(l.FailureDomain, false) },
	} {
		for _, queued := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				f := withOwners(newFixture(t, 12), repliesBefore(queued, granted())...)
				var changed *Member
				f.onAsk = func(upstream *Member, a admission.Ask) {
					if queued == a.MayQueue && changed == nil {
						changed = upstream
						f.now += 100
						change(f.fixture, changed)
					}
				}
				l := f.pickAdmitted(t, prompted("s"))
				assert.NotSame(t, changed, l.Member)
				assert.Equal(t, []string{changed.ID}, f.released, "the permit is returned")
				a, _ := l.Admission()
				assert.Equal(t, 1, a.Rechecked)
				assert.Equal(t, map[namekey.Key]int{l.key: 1}, f.InFlight())
			})
		}
	}
	t.Run("a prompt leaves an engine that turned slow if another one admits it at once", func(t *testing.T) {
		for _, others := range []admission.Reply{granted(), denied(100, 50)} {
			f := withOwners(newFixture(t, 12), granted(), others)
			f.onAsk = func(upstream *Member, _ admission.Ask) {
				if len(f.asked) == 1 {
					f.report(upstream.ID, 300)
				}
			}
			l, left := f.pickAdmitted(t, prompted("s")), others.Answer.Verdict == admission.Granted
			assert.Equal(t, left, l.ID != f.asked[0])
			assert.Equal(t, left, len(f.released) == 1, "the permit is returned if it is not used")
			assert.False(t, slices.ContainsFunc(f.asks, func(a admission.Ask) bool { return a.MayQueue }))
			assert.Equal(t, map[namekey.Key]int{l.key: 1}, f.InFlight())
		}
	})
	t.Run("it gives up after some engines", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), granted())
		f.onAsk = func(upstream *Member, _ admission.Ask) { upstream.backOff(f.now, f.now+5000, "1") }
		e := f.refusal(t, prompted("s"))
		assert.Len(t, f.released, maxAdmissionRounds)
		assert.Equal(t, maxAdmissionRounds, e.Rechecked)
	})
	t.Run("a prompt whose caller left is not sent, and its permit is returned", func(t *testing.T) {
		for _, queued := range []bool{false, true} {
			f := withOwners(newFixture(t, 12), repliesBefore(queued, granted())...)
			ctx, cancel := context.WithCancel(t.Context())
			f.onAsk = func(_ *Member, a admission.Ask) {
				if queued == a.MayQueue {
					cancel()
				}
			}
			_, err := f.PickWithAdmission(ctx, prompted("s"), f.admit)
			require.ErrorIs(t, err, context.Canceled)
			assert.Len(t, f.released, 1)
			assert.Empty(t, f.InFlight())
		}
	})
	t.Run("asking uses up no part of the rate of a cold engine, and no trial request", func(t *testing.T) {
		f := withOwners(newFixture(t, 1), denied(9000, 50))
		f.setCold(f.byID["u0"])
		f.byID["u0"].probation = true
		f.refusal(t, prompted("s"))
		f.replies = []admission.Reply{granted()}
		f.pickAdmitted(t, prompted("s"))
	})
	t.Run("a trial request does not wait", func(t *testing.T) {
		f := withOwners(newFixture(t, 1), denied(100, 50))
		f.byID["u0"].probation = true
		f.refusal(t, prompted("s"))
		assert.Len(t, f.asked, 1)
	})
}

// TestAdmissionWithoutOwner guards against refusals by boxes that know nothing, and against boxes that fill an engine
// whose owner does not answer.
func TestAdmissionWithoutOwner(t *testing.T) {
	t.Run("a box that knows nothing sends to the session's engine", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), unknown())
		l := f.pickAdmitted(t, prompted("s"))
		assert.Equal(t, 0, l.Rank)
		a, _ := l.Admission()
		assert.True(t, a.Asked[0].Unknown)
		assert.EqualValues(t, 700, a.Asked[0].OwnerAgeMs)
		l.Release(Succeeded)
		assert.Equal(t, []string{l.ID}, f.released, "the owner may have counted it")
	})
	t.Run("prompts of the box that have not started send others elsewhere", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), unknown())
		f.finishPrefills(t, 300)
		first, second := f.pickAdmitted(t, prompted("s")), f.pickAdmitted(t, prompted("s"))
		assert.Equal(t, first.ID, second.ID, "the parts are cached there by now")
		first.Release(Neutral)
		first = f.pickAdmitted(t, prompted("x"))
		f.SetBoxesPerReport(2)
		third := f.pickAdmitted(t, prompted("x"))
		assert.NotEqual(t, first.ID, third.ID, "300 ms of this box and as much of another one are ahead")
		assert.Equal(t, []string{first.ID, first.ID}, []string{f.asked[2], f.asked[3]})
		assert.Contains(t, f.released, first.ID, "its owner may have counted the prompt that went elsewhere")
	})
	t.Run("if no engine is in time, it is sent to the least loaded one", func(t *testing.T) {
		f := withOwners(newFixture(t, 3), unknown())
		f.finishPrefills(t, 1000)
		used := map[string]int{}
		for range 6 {
			used[f.pickAdmitted(t, prompted("s")).ID]++
		}
		assert.Len(t, used, 3)
	})
	t.Run("with an owner that denies it, the box knows something", func(t *testing.T) {
		f := withOwners(newFixture(t, 3), unknown(), denied(5000, 800))
		f.finishPrefills(t, 1000)
		f.refusal(t, prompted("s"))
		assert.Equal(t, f.asked[:1], f.released)
	})
	t.Run("a provisional grant counts with the box's own estimate of the load", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), granted())
		f.SetEnginePermits(true)
		first := rank("s", f.pools["p"])[0]
		f.SetOthersInFlight(map[namekey.Key]int{first.key: 30})
		assert.Equal(t, first.ID, f.pickAdmitted(t, prompted("s")).ID, "an owner that has counted decides")
		provisional := granted()
		provisional.Answer.Provisional = true
		f.replies = []admission.Reply{provisional}
		assert.NotEqual(t, first.ID, f.pickAdmitted(t, prompted("s")).ID)
		assert.Equal(t, []string{first.ID}, f.released)
	})
}

// TestRetryAfterOverload guards against callers that return before an engine can take them, all at once, or too late.
func TestRetryAfterOverload(t *testing.T) {
	f := newFixture(t, 1)
	overload := func(drains ...clock.Millis) *OverloadedError {
		e := &OverloadedError{FirstEventMs: 500}
		for _, drainMs := range drains {
			e.Asked = append(e.Asked, AskedUpstream{Answer: admission.Answer{DrainMs: drainMs}})
		}
		return e
	}
	earliest, latest := func(int) int { return 0 }, func(n int) int { return n - 1 }
	for _, c := range []struct {
		name            string
		random          func(n int) int
		e               *OverloadedError
		remaining, want clock.Millis
	}{
		{"the least answer, a quarter sooner", earliest, overload(900, 400, 0, 600), 3000, 300},
		{"a quarter later", latest, overload(900, 400, 0, 600), 3000, 500},
		{"at least the duration of a short request", earliest, overload(20), 3000, minRetryAfterMs},
		{"no answer", earliest, overload(), 3000, minRetryAfterMs},
		{"just enough time left", earliest, overload(400), 800, 300},
		{"too little time left", earliest, overload(400), 799, 0},
		{"no time left", earliest, overload(), -5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.random = c.random
			assert.Equal(t, c.want, f.RetryAfterOverload(c.e, "p", c.remaining))
		})
	}
	t.Run("longer while most prompts are denied, up to a third of the time left", func(t *testing.T) {
		f := newFixture(t, 1)
		f.random = func(n int) int { return n / 2 }
		for range 52 {
			f.recordAdmission(PickRequest{Pool: "p"}, overload(400))
		}
		for range 9 {
			f.recordAdmission(PickRequest{Pool: "p"}, nil)
		}
		assert.InDelta(t, 1600, int(f.RetryAfterOverload(overload(400), "p", 6000)), 2)
		assert.InDelta(t, 1000, int(f.RetryAfterOverload(overload(400), "p", 3000)), 2)
		f.now += 10 * denialWindowMs
		assert.InDelta(t, 400, int(f.RetryAfterOverload(overload(400), "p", 6000)), 2)
	})
	t.Run("the first event is expected by the learnt prefill times", func(t *testing.T) {
		f := withOwners(newFixture(t, 12), denied(9000, 50))
		assert.Equal(t, testObjectiveMs, f.refusal(t, prompted("s")).FirstEventMs)
		f.finishPrefills(t, 120)
		assert.InDelta(t, 120, int(f.refusal(t, prompted("s")).FirstEventMs), 2)
	})
}

// TestDemandOf guards against sizes that contradict the parts of the prompt.
func TestDemandOf(t *testing.T) {
	parts := prompt.Prompt{{ID: "a", Tokens: 100}, {ID: "own", Tokens: 10}}
	assert.Equal(t, work.Demand{PromptTokens: 110, SharedTokens: 100}, DemandOf(work.Demand{}, parts))
	told := work.Demand{PromptTokens: 150, SharedTokens: 100, MaxOutputTokens: 7, HintTokens: 3}
	assert.Equal(t, told, DemandOf(told, parts))
	huge := prompt.Prompt{{ID: "a", Tokens: 1 << 62}, {ID: "b", Tokens: 1 << 62}, {ID: "own", Tokens: 1}}
	assert.Equal(t, work.Demand{PromptTokens: work.MaxTokens, SharedTokens: work.MaxTokens}, DemandOf(work.Demand{}, huge))
}
