package localfleet_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/load"
	"dooryard.example/dooryard/internal/localfleet"
	"dooryard.example/dooryard/internal/snapshot"
	"dooryard.example/dooryard/internal/standin"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/tablestore"
	"dooryard.example/dooryard/pkg/config"
)

// submit submits an edit of the model's deadline at a box, based on the revision that the box has.
func (tf *testFleet) submit(box int, id, value string) (table.Verdict, error) {
	return tf.submitBasedOn(box, id, value, tf.revision(box))
}

// revision returns the revision of the model's deadline cell at a box.
func (tf *testFleet) revision(box int) int64 {
	return tf.Boxes()[box].Store().State().Cell(table.Models, localfleet.Model, "deadline_ms").Revision
}

func (tf *testFleet) submitBasedOn(box int, id, value string, revision int64) (table.Verdict, error) {
	store := tf.Boxes()[box].Store()
	ctx, cancel := context.WithTimeout(tf.t.Context(), (15 * clock.Second).Duration())
	defer cancel()
	return store.Submit(ctx, table.Edit{ID: id, Operator: "test", Changes: []table.Change{{
		Sheet: table.Models, Row: localfleet.Model, Column: "deadline_ms", Value: value, BasedOn: revision,
	}}})
}

// awaitOffset waits until all boxes have read the table up to an offset and returns the time that this took.
func (tf *testFleet) awaitOffset(offset int64, within clock.Millis) clock.Millis {
	tf.t.Helper()
	start := clock.New().Now()
	ctx, cancel := context.WithTimeout(tf.t.Context(), within.Duration())
	defer cancel()
	for _, b := range tf.Boxes() {
		require.NoError(tf.t, b.Store().WaitFor(ctx, offset), b.Name)
	}
	return clock.New().Now() - start
}

func TestEdits(t *testing.T) {
	t.Run("take effect on all boxes of three failure domains within a second", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(5000)
			for i := range 20 {
				verdict, err := tf.submit(i%9, fmt.Sprint("edit-", i), fmt.Sprint(1000+i))
				require.NoError(tf.t, err)
				require.Equal(tf.t, table.Accepted, verdict.Result)
				assert.Less(tf.t, tf.awaitOffset(verdict.Offset+1, 5000), clock.Second)
			}
		}, withDomains("north", "south", "west"), withBoxes(3))
	})
	t.Run("reach a failure domain without a connection to the platform through another one", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(10_000)
			tf.network.SetPartition(func(from, to string) bool {
				return strings.HasPrefix(from, "south") && to == localfleet.HostPlatform
			})
			tf.wait(2000)
			for i := range 5 {
				verdict, err := tf.submit(0, fmt.Sprint("edit-", i), fmt.Sprint(1000+i))
				require.NoError(tf.t, err)
				assert.Less(tf.t, tf.awaitOffset(verdict.Offset+1, 10_000), 5*clock.Second)
			}
		}, withDomains("north", "south", "west"), withBoxes(3))
	})
	t.Run("whose reply is lost are applied once", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.LoseReplies = 3 })
			verdict, err := tf.submit(0, "edit", "1234")
			require.NoError(tf.t, err)
			assert.Equal(tf.t, table.Accepted, verdict.Result)
			assert.Len(tf.t, tf.Boxes()[0].Store().State().History(), 2)
		})
	})
	t.Run("during a log outage report an unknown verdict and are accepted when submitted again", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = true })
			_, err := tf.submit(0, "edit", "1234")
			require.ErrorIs(tf.t, err, tablestore.ErrVerdictUnknown)
			tf.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = false })
			tf.wait(3000)
			verdict, err := tf.submit(1, "edit", "1234")
			require.NoError(tf.t, err)
			assert.Equal(tf.t, table.Accepted, verdict.Result)
		})
	})
	t.Run("that race on one cell get the same verdicts on all boxes", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			results := make(chan table.Result, 2)
			// Both edits are based on the same revision of the cell.
			revision := tf.revision(0)
			for box := range 2 {
				go func() {
					verdict, err := tf.submitBasedOn(box, fmt.Sprint("edit-", box), fmt.Sprint(1000+box), revision)
					assert.NoError(tf.t, err)
					results <- verdict.Result
				}()
			}
			assert.ElementsMatch(tf.t, []table.Result{table.Accepted, table.Conflict}, []table.Result{<-results, <-results})
			tf.wait(1000)
			one, two := tf.Boxes()[0].Store().State(), tf.Boxes()[1].Store().State()
			assert.Equal(tf.t, one.Model(localfleet.Model), two.Model(localfleet.Model))
		})
	})
}

func TestPlatformOutage(t *testing.T) {
	t.Run("doesn't affect chats", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = true })
			tf.Platform.Boxes.SetDown(true)
			tf.wait(60_000)
			for box := range tf.Boxes() {
				assert.Equal(tf.t, load.Complete, tf.chat(box, "s", "a").Verdict)
			}
		})
	})
	t.Run("doesn't prevent a new box from reading its state from peers", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(5000)
			tf.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = true })
			added, err := tf.StartBox("north", "north-box-new")
			require.NoError(tf.t, err)
			tf.wait(10_000)
			assert.True(tf.t, added.Ready())
			assert.Equal(tf.t, load.Complete, tf.chat(len(tf.Boxes())-1, "s", "a").Verdict)
		})
	})
}

func TestColdStart(t *testing.T) {
	t.Run("reads a snapshot when the edits have expired from the log", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			for i := range 600 {
				tf.Platform.Log.Append(tablestore.Stream, []byte(fmt.Sprintf(`{"id":"","n":%d}`, i)))
			}
			tf.wait(120_000)
			page := tf.Platform.Log.Read
			require.NotNil(tf.t, page)
			written := int64(0)
			for _, b := range tf.Boxes() {
				written += b.Metrics().SnapshotsMade.Value()
			}
			assert.EqualValues(tf.t, 1, written, "exactly one box writes the snapshot")
			tf.Platform.Log.Expire(tablestore.Stream, 601)
			for _, b := range tf.Boxes() {
				b.Kill()
			}
			tf.wait(1000)
			added, err := tf.StartBox("north", "north-box-new")
			require.NoError(tf.t, err)
			tf.wait(15_000)
			assert.EqualValues(tf.t, 601, added.Store().State().Offset())
			assert.NotNil(tf.t, added.Store().State().Organisation("choir"))
		})
	})
	t.Run("fails when snapshots of the same offset differ", func(t *testing.T) {
		assembler := snapshot.NewAssembler()
		chunks, err := snapshot.Make(table.New())
		require.NoError(t, err)
		require.NoError(t, assembler.Add(chunks[0]))
		chunks[0].Hash = strings.Repeat("0", 64)
		assert.ErrorIs(t, assembler.Add(chunks[0]), snapshot.ErrDiffers)
	})
	t.Run("never adopts a state older than the current one", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			store := tf.Boxes()[0].Store()
			before := store.State().Offset()
			assert.Equal(tf.t, before, store.Adopt(table.New()))
			assert.Equal(tf.t, before, store.State().Offset())
		})
	})
}

func TestPartitionedDomain(t *testing.T) {
	t.Run("keeps serving chats with its own engines", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(5000)
			tf.network.SetPartition(func(from, to string) bool {
				inside := strings.HasPrefix(from, "south") == strings.HasPrefix(to, "south")
				return !inside && from != localfleet.HostCallers && to != localfleet.HostCallers
			})
			tf.wait(30_000)
			for box := range tf.Boxes() {
				result := tf.chat(box, "s", "a")
				assert.Equal(tf.t, load.Complete, result.Verdict, "%+v", result)
			}
		}, withDomains("north", "south"))
	})
	t.Run("without engines is served by another when the boxes started during a log outage", func(t *testing.T) {
		runAfter(t, logDownFor(clock.Second), func(tf *testFleet) {
			tf.wait(5000)
			assertServedByOtherDomain(tf)
		}, withDomains("north", "south"))
	})
	t.Run("without engines is served by another through one forwarding hop", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(10_000)
			assertServedByOtherDomain(tf)
		}, withDomains("north", "south"))
	})
}

// logDownFor returns a function that takes the platform's log down and restores it after the given time.
func logDownFor(duration clock.Millis) func(f *localfleet.Fleet) {
	return func(f *localfleet.Fleet) {
		f.Platform.Log.SetFaults(func(faults *standin.LogFaults) { faults.Down = true })
		time.AfterFunc(duration.Duration(), func() {
			f.Platform.Log.SetFaults(func(faults *standin.LogFaults) { faults.Down = false })
		})
	}
}

// assertServedByOtherDomain kills the engines of the failure domain south and asserts that a box there still answers
// chats.
func assertServedByOtherDomain(tf *testFleet) {
	tf.t.Helper()
	for _, e := range tf.Engines() {
		if e.Domain == "south" {
			e.Kill()
		}
	}
	completed := 0
	results := []load.Result{}
	for i := range 20 {
		result := tf.chat(3, fmt.Sprint(i), "a")
		results = append(results, result)
		assert.NotEqual(tf.t, load.Truncated, result.Verdict)
		if result.Verdict == load.Complete {
			completed++
		}
	}
	assert.Positive(tf.t, completed, "%+v", results)
}

func TestUnrepeatableCallsOfAnotherDomain(t *testing.T) {
	t.Run("are sent once although its server drops answers", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(10_000)
			for _, s := range tf.Services() {
				s.SetFaults(func(f *standin.ServerFaults) { f.DropAnswer = true })
			}
			ctx, cancel := context.WithTimeout(tf.t.Context(), (5 * clock.Second).Duration())
			defer cancel()
			// The server in the failure domain south is draining, so that requests there are forwarded to the north.
			_, err := tf.Boxes()[0].Store().Submit(ctx, table.Edit{ID: "drain", Changes: []table.Change{{
				Sheet: table.Upstreams, Row: tf.Services()[1].Name, Column: "state", Value: table.StateDraining,
			}}})
			require.NoError(tf.t, err)
			tf.wait(1000)
			result := tf.file(2, "k")
			assert.EqualValues(tf.t, "unknown", result.Outcome)
			assert.Equal(tf.t, 1, tf.Ledger.Runs("k"))
		}, withDomains("north", "south"))
	})
}

func TestLeavingEngine(t *testing.T) {
	// assertNoNewWork waits for the 3 s after which a leaving engine must get no new requests, sends chats, and asserts
	// that none of them reaches the engine.
	assertNoNewWork := func(tf *testFleet, e *localfleet.EngineProcess) {
		tf.wait(3000)
		before := e.Counts().Finished + e.Counts().Running
		for i := range 40 {
			result := tf.chat(i%len(tf.Boxes()), fmt.Sprint(i), "a")
			assert.Equal(tf.t, load.Complete, result.Verdict)
		}
		assert.Equal(tf.t, before, e.Counts().Finished+e.Counts().Running)
	}
	t.Run("according to its own report gets no new work after 3 s", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(10_000)
			tf.Engines()[0].SetDraining(true)
			assertNoNewWork(tf, tf.Engines()[0])
		}, withBoxes(3))
	})
	t.Run("according to the platform's list gets no new work after 3 s", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(10_000)
			tf.Platform.Boxes.Set(func(list *backing.BoxListReply) {
				list.Upstreams = append(list.Upstreams, backing.ListedBox{
					Name: tf.Engines()[0].Name, FailureDomain: "north", State: backing.BoxLeaving,
				})
			})
			assertNoNewWork(tf, tf.Engines()[0])
		}, withBoxes(3))
	})
	t.Run("according to the table gets no new work after 3 s, and running requests complete", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(10_000)
			done := make(chan load.Result, 10)
			for i := range 10 {
				go func() {
					done <- tf.chat(0, fmt.Sprint(i), "a", func(r *load.ChatRequest) { r.Chat.MaxTokens = 2000 })
				}()
			}
			tf.wait(500)
			ctx, cancel := context.WithTimeout(tf.t.Context(), (5 * clock.Second).Duration())
			defer cancel()
			_, err := tf.Boxes()[0].Store().Submit(ctx, table.Edit{ID: "drain", Changes: []table.Change{{
				Sheet: table.Upstreams, Row: tf.Engines()[0].Name, Column: "state", Value: table.StateDraining,
			}}})
			require.NoError(tf.t, err)
			assertNoNewWork(tf, tf.Engines()[0])
			for range 10 {
				assert.Equal(tf.t, load.Complete, (<-done).Verdict)
			}
		}, withBoxes(3))
	})
}

func TestOrders(t *testing.T) {
	serve := func(tf *testFleet, models string) {
		ctx, cancel := context.WithTimeout(tf.t.Context(), (5 * clock.Second).Duration())
		defer cancel()
		store := tf.Boxes()[0].Store()
		name := tf.Engines()[0].Name
		_, err := store.Submit(ctx, table.Edit{ID: "serve-" + models, Changes: []table.Change{
			{Sheet: table.Models, Row: "second", Column: "deadline_ms", Value: "1000"},
			{
				Sheet: table.Upstreams, Row: name, Column: "serves", Value: models,
				BasedOn: store.State().Cell(table.Upstreams, name, "serves").Revision,
			},
			{Sheet: table.Upstreams, Row: name, Column: "checks_tokens", Value: "true"},
		}})
		require.NoError(tf.t, err)
	}
	t.Run("reconcile an engine's models with the table", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(30_000)
			serve(tf, localfleet.Model+";second")
			tf.wait(30_000)
			orders := tf.Engines()[0].Orders()
			assert.ElementsMatch(tf.t, []string{localfleet.Model, "second"}, orders.Models)
			assert.Len(tf.t, orders.Accepted, 1)
			assert.Positive(tf.t, orders.Accepted[0].Token)
			assert.Zero(tf.t, orders.Overlaps)
		})
	})
	t.Run("stop while the log is down", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(30_000)
			serve(tf, localfleet.Model+";second")
			tf.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = true })
			before := len(tf.Engines()[0].Orders().Accepted)
			tf.wait(60_000)
			assert.LessOrEqual(tf.t, len(tf.Engines()[0].Orders().Accepted), before+1)
		})
	})
	t.Run("are issued by another box with a higher fencing token when the lease holder dies", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(30_000)
			serve(tf, localfleet.Model+";second")
			tf.wait(20_000)
			tf.Boxes()[0].Kill()
			tf.wait(60_000)
			ctx, cancel := context.WithTimeout(tf.t.Context(), (5 * clock.Second).Duration())
			defer cancel()
			store := tf.Boxes()[1].Store()
			name := tf.Engines()[0].Name
			_, err := store.Submit(ctx, table.Edit{ID: "back", Changes: []table.Change{{
				Sheet: table.Upstreams, Row: name, Column: "serves", Value: localfleet.Model,
				BasedOn: store.State().Cell(table.Upstreams, name, "serves").Revision,
			}}})
			require.NoError(tf.t, err)
			tf.wait(20_000)
			orders := tf.Engines()[0].Orders()
			require.Len(tf.t, orders.Accepted, 2)
			assert.Greater(tf.t, orders.Accepted[1].Token, orders.Accepted[0].Token)
			assert.Equal(tf.t, []string{localfleet.Model}, orders.Models)
		})
	})
}

func TestLimits(t *testing.T) {
	t.Run("of an organisation apply across all boxes", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			tf.wait(10_000)
			ctx, cancel := context.WithTimeout(tf.t.Context(), (5 * clock.Second).Duration())
			defer cancel()
			_, err := tf.Boxes()[0].Store().Submit(ctx, table.Edit{ID: "limit", Changes: []table.Change{
				{Sheet: table.Organisations, Row: "choir", Column: "rate_per_s", Value: "90"},
			}})
			require.NoError(tf.t, err)
			// sendFor sends four times as many requests to the first box as to each of the others. It returns the
			// number of admitted requests.
			sendFor := func(duration clock.Millis) (admitted int) {
				results := make(chan bool, 10_000)
				sent := 0
				for end := clock.New().Now() + duration; clock.New().Now() < end; tf.wait(50) {
					for box := range 9 {
						for range 1 + 3*boolInt(box == 0) {
							sent++
							go func() { results <- tf.get(box) }()
						}
					}
				}
				for range sent {
					admitted += boolInt(<-results)
				}
				return admitted
			}
			sendFor(20_000)
			const seconds = 30
			admitted := sendFor(seconds * clock.Second)
			assert.InDelta(tf.t, 90*seconds, admitted, 0.05*90*seconds)
		}, withDomains("north", "south", "west"), withBoxes(3))
	})
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// get sends an idempotent request and reports whether it was admitted.
func (tf *testFleet) get(box int) bool {
	result := tf.caller.Get(tf.t.Context(), load.ServiceCall{
		URL: tf.url(box), Key: localfleet.CallerKey("choir"), Service: localfleet.ServiceName, Path: "/rota",
	})
	return result.Status == 200
}

func TestKeys(t *testing.T) {
	t.Run("of callers are required", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			result := tf.chat(0, "s", "a", func(r *load.ChatRequest) { r.Key = "wrong" })
			assert.Equal(tf.t, 401, result.Status)
		})
	})
	t.Run("of peers exclude a box with a different key from the fleet", func(t *testing.T) {
		run(t, func(tf *testFleet) {
			_, err := tf.StartBox("north", "stranger")
			require.NoError(tf.t, err)
			tf.wait(10_000)
			for _, peer := range tf.Boxes()[0].Status().Peers {
				assert.NotEqual(tf.t, "stranger", peer.Name)
			}
		}, withSettings(func(s *config.Router) {
			if s.Box == "stranger" {
				s.Peers.KeyFile = s.Operators.KeyFile
			}
		}))
	})
}

// TestPartitionedBox guards against callers that are refused by a box without upstreams while a box of the same failure
// domain could serve them.
func TestPartitionedBox(t *testing.T) {
	run(t, func(tf *testFleet) {
		tf.wait(5000)
		separated := tf.Boxes()[0].Name
		upstreams := map[string]bool{}
		for _, e := range tf.Engines() {
			upstreams[e.Name] = true
		}
		for _, s := range tf.Services() {
			upstreams[s.Name] = true
		}
		tf.network.SetPartition(func(from, to string) bool {
			return from == separated && upstreams[to] || to == separated && upstreams[from]
		})
		for i := range 5 {
			result := tf.chat(0, fmt.Sprint(i), "a")
			assert.Equal(tf.t, load.Complete, result.Verdict, "%+v", result)
			key := fmt.Sprint("k", i)
			assert.Equal(tf.t, load.Complete, tf.file(0, key).Verdict)
			assert.Equal(tf.t, 1, tf.Ledger.Runs(key))
		}
	})
}
