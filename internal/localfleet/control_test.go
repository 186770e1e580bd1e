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

// submit hands an edit of one model's deadline in at a box.
func (tr *trial) submit(box int, id, value string) (table.Verdict, error) {
	return tr.submitBasedOn(box, id, value, tr.revision(box))
}

// revision is the one of the deadline's cell, as a box sees it.
func (tr *trial) revision(box int) int64 {
	return tr.Boxes()[box].Store().State().Cell(table.Models, localfleet.Model, "deadline_ms").Revision
}

func (tr *trial) submitBasedOn(box int, id, value string, revision int64) (table.Verdict, error) {
	store := tr.Boxes()[box].Store()
	ctx, cancel := context.WithTimeout(tr.t.Context(), (15 * clock.Second).Duration())
	defer cancel()
	return store.Submit(ctx, table.Edit{ID: id, Operator: "test", Changes: []table.Change{{
		Sheet: table.Models, Row: localfleet.Model, Column: "deadline_ms", Value: value, BasedOn: revision,
	}}})
}

// awaitOffset waits until all boxes have the table at an offset and returns how
// long that took.
func (tr *trial) awaitOffset(offset int64, within clock.Millis) clock.Millis {
	tr.t.Helper()
	began := clock.New().Now()
	ctx, cancel := context.WithTimeout(tr.t.Context(), within.Duration())
	defer cancel()
	for _, b := range tr.Boxes() {
		require.NoError(tr.t, b.Store().WaitFor(ctx, offset), b.Name)
	}
	return clock.New().Now() - began
}

func TestEdits(t *testing.T) {
	t.Run("are in force on all boxes of three domains in under a second", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(5000)
			for i := range 20 {
				verdict, err := tr.submit(i%9, fmt.Sprint("edit-", i), fmt.Sprint(1000+i))
				require.NoError(tr.t, err)
				require.Equal(tr.t, table.Accepted, verdict.Result)
				assert.Less(tr.t, tr.awaitOffset(verdict.Offset+1, 5000), clock.Second)
			}
		}, withDomains("north", "south", "west"), withBoxes(3))
	})
	t.Run("reach a domain that is cut off from the platform through another", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(10_000)
			tr.network.SetCut(func(from, to string) bool {
				return strings.HasPrefix(from, "south") && to == localfleet.HostPlatform
			})
			tr.wait(2000)
			for i := range 5 {
				verdict, err := tr.submit(0, fmt.Sprint("edit-", i), fmt.Sprint(1000+i))
				require.NoError(tr.t, err)
				assert.Less(tr.t, tr.awaitOffset(verdict.Offset+1, 10_000), 5*clock.Second)
			}
		}, withDomains("north", "south", "west"), withBoxes(3))
	})
	t.Run("whose reply is lost are taken once", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.LoseReplies = 3 })
			verdict, err := tr.submit(0, "edit", "1234")
			require.NoError(tr.t, err)
			assert.Equal(tr.t, table.Accepted, verdict.Result)
			assert.Len(tr.t, tr.Boxes()[0].Store().State().History(), 2)
		})
	})
	t.Run("during an outage are said to be in doubt or not taken, and never half", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = true })
			_, err := tr.submit(0, "edit", "1234")
			require.ErrorIs(tr.t, err, tablestore.ErrVerdictUnknown)
			tr.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = false })
			tr.wait(3000)
			verdict, err := tr.submit(1, "edit", "1234")
			require.NoError(tr.t, err)
			assert.Equal(tr.t, table.Accepted, verdict.Result)
		})
	})
	t.Run("that race on one cell are decided alike on all boxes", func(t *testing.T) {
		run(t, func(tr *trial) {
			results := make(chan table.Result, 2)
			// Both operators saw the same cell.
			revision := tr.revision(0)
			for box := range 2 {
				go func() {
					verdict, err := tr.submitBasedOn(box, fmt.Sprint("edit-", box), fmt.Sprint(1000+box), revision)
					assert.NoError(tr.t, err)
					results <- verdict.Result
				}()
			}
			assert.ElementsMatch(tr.t, []table.Result{table.Accepted, table.Conflict}, []table.Result{<-results, <-results})
			tr.wait(1000)
			one, two := tr.Boxes()[0].Store().State(), tr.Boxes()[1].Store().State()
			assert.Equal(tr.t, one.Model(localfleet.Model), two.Model(localfleet.Model))
		})
	})
}

func TestPlatformOutage(t *testing.T) {
	t.Run("leaves chats and repeatable calls served", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = true })
			tr.Platform.Boxes.SetDown(true)
			tr.wait(60_000)
			for box := range tr.Boxes() {
				assert.Equal(tr.t, load.Whole, tr.chat(box, "s", "a").Verdict)
			}
		})
	})
	t.Run("lets a new box start from its peers", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(5000)
			tr.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = true })
			added, err := tr.StartBox("north", "north-box-new")
			require.NoError(tr.t, err)
			tr.wait(10_000)
			assert.True(tr.t, added.Ready())
			assert.Equal(tr.t, load.Whole, tr.chat(len(tr.Boxes())-1, "s", "a").Verdict)
		})
	})
}

func TestColdStart(t *testing.T) {
	t.Run("takes a snapshot when the log no longer keeps the edits", func(t *testing.T) {
		run(t, func(tr *trial) {
			for i := range 600 {
				tr.Platform.Log.Append(tablestore.Stream, []byte(fmt.Sprintf(`{"id":"","n":%d}`, i)))
			}
			tr.wait(120_000)
			page := tr.Platform.Log.Read
			require.NotNil(tr.t, page)
			written := int64(0)
			for _, b := range tr.Boxes() {
				written += b.Metrics().SnapshotsMade.Value()
			}
			assert.EqualValues(tr.t, 1, written, "one box writes it")
			tr.Platform.Log.Expire(tablestore.Stream, 601)
			for _, b := range tr.Boxes() {
				b.Kill()
			}
			tr.wait(1000)
			added, err := tr.StartBox("north", "north-box-new")
			require.NoError(tr.t, err)
			tr.wait(15_000)
			assert.EqualValues(tr.t, 601, added.Store().State().Offset())
			assert.NotNil(tr.t, added.Store().State().Organisation("choir"))
		})
	})
	t.Run("alarms when snapshots of one offset differ", func(t *testing.T) {
		assembler := snapshot.NewAssembler()
		chunks, err := snapshot.Make(table.New())
		require.NoError(t, err)
		require.NoError(t, assembler.Add(chunks[0]))
		chunks[0].Hash = strings.Repeat("0", 64)
		assert.ErrorIs(t, assembler.Add(chunks[0]), snapshot.ErrDiffers)
	})
	t.Run("never goes back behind what was in force", func(t *testing.T) {
		run(t, func(tr *trial) {
			store := tr.Boxes()[0].Store()
			before := store.State().Offset()
			assert.Equal(tr.t, before, store.Adopt(table.New()))
			assert.Equal(tr.t, before, store.State().Offset())
		})
	})
}

func TestCutOffDomain(t *testing.T) {
	t.Run("goes on serving what it can", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(5000)
			tr.network.SetCut(func(from, to string) bool {
				inside := strings.HasPrefix(from, "south") == strings.HasPrefix(to, "south")
				return !inside && from != localfleet.HostCallers && to != localfleet.HostCallers
			})
			tr.wait(30_000)
			for box := range tr.Boxes() {
				result := tr.chat(box, "s", "a")
				assert.Equal(tr.t, load.Whole, result.Verdict, "%+v", result)
			}
		}, withDomains("north", "south"))
	})
	t.Run("is known to boxes that started before they could read the table", func(t *testing.T) {
		runAfter(t, awayFor(clock.Second), func(tr *trial) {
			tr.wait(5000)
			assertServedElsewhere(tr)
		}, withDomains("north", "south"))
	})
	t.Run("without engines is served by another, one hop away", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(10_000)
			assertServedElsewhere(tr)
		}, withDomains("north", "south"))
	})
}

// awayFor has the platform's log down while the boxes start.
func awayFor(span clock.Millis) func(f *localfleet.Fleet) {
	return func(f *localfleet.Fleet) {
		f.Platform.Log.SetFaults(func(faults *standin.LogFaults) { faults.Down = true })
		time.AfterFunc(span.Duration(), func() {
			f.Platform.Log.SetFaults(func(faults *standin.LogFaults) { faults.Down = false })
		})
	}
}

// assertServedElsewhere kills the engines of the south and has its boxes answer.
func assertServedElsewhere(tr *trial) {
	tr.t.Helper()
	for _, e := range tr.Engines() {
		if e.Domain == "south" {
			e.Kill()
		}
	}
	whole := 0
	results := []load.Result{}
	for i := range 20 {
		result := tr.chat(3, fmt.Sprint(i), "a")
		results = append(results, result)
		assert.NotEqual(tr.t, load.CutAsWhole, result.Verdict)
		if result.Verdict == load.Whole {
			whole++
		}
	}
	assert.Positive(tr.t, whole, "%+v", results)
}

func TestUnrepeatableCallsOfAnotherDomain(t *testing.T) {
	t.Run("are sent once though its server drops answers", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(10_000)
			for _, s := range tr.Services() {
				s.SetFaults(func(f *standin.ServerFaults) { f.DropAnswer = true })
			}
			ctx, cancel := context.WithTimeout(tr.t.Context(), (5 * clock.Second).Duration())
			defer cancel()
			// The server of the south leaves; requests there go to the north.
			_, err := tr.Boxes()[0].Store().Submit(ctx, table.Edit{ID: "drain", Changes: []table.Change{{
				Sheet: table.Upstreams, Row: tr.Services()[1].Name, Column: "state", Value: table.StateDraining,
			}}})
			require.NoError(tr.t, err)
			tr.wait(1000)
			result := tr.file(2, "k")
			assert.EqualValues(tr.t, "unknown", result.Outcome)
			assert.Equal(tr.t, 1, tr.Ledger.Runs("k"))
		}, withDomains("north", "south"))
	})
}

func TestLeavingEngine(t *testing.T) {
	// assertNoNewWork waits the promised time and counts what still arrives.
	assertNoNewWork := func(tr *trial, e *localfleet.EngineProcess) {
		tr.wait(3000)
		before := e.Counts().Finished + e.Counts().Running
		for i := range 40 {
			result := tr.chat(i%len(tr.Boxes()), fmt.Sprint(i), "a")
			assert.Equal(tr.t, load.Whole, result.Verdict)
		}
		assert.Equal(tr.t, before, e.Counts().Finished+e.Counts().Running)
	}
	t.Run("by its own word gets no new work after 3 s", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(10_000)
			tr.Engines()[0].SetDraining(true)
			assertNoNewWork(tr, tr.Engines()[0])
		}, withBoxes(3))
	})
	t.Run("by the platform's list gets no new work after 3 s", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(10_000)
			tr.Platform.Boxes.Set(func(list *backing.BoxListReply) {
				list.Upstreams = append(list.Upstreams, backing.ListedBox{
					Name: tr.Engines()[0].Name, FailureDomain: "north", State: backing.BoxLeaving,
				})
			})
			assertNoNewWork(tr, tr.Engines()[0])
		}, withBoxes(3))
	})
	t.Run("by the table gets no new work after 3 s, and what runs finishes", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(10_000)
			done := make(chan load.Result, 10)
			for i := range 10 {
				go func() {
					done <- tr.chat(0, fmt.Sprint(i), "a", func(r *load.ChatRequest) { r.Chat.MaxTokens = 2000 })
				}()
			}
			tr.wait(500)
			ctx, cancel := context.WithTimeout(tr.t.Context(), (5 * clock.Second).Duration())
			defer cancel()
			_, err := tr.Boxes()[0].Store().Submit(ctx, table.Edit{ID: "drain", Changes: []table.Change{{
				Sheet: table.Upstreams, Row: tr.Engines()[0].Name, Column: "state", Value: table.StateDraining,
			}}})
			require.NoError(tr.t, err)
			assertNoNewWork(tr, tr.Engines()[0])
			for range 10 {
				assert.Equal(tr.t, load.Whole, (<-done).Verdict)
			}
		}, withBoxes(3))
	})
}

func TestOrders(t *testing.T) {
	serve := func(tr *trial, models string) {
		ctx, cancel := context.WithTimeout(tr.t.Context(), (5 * clock.Second).Duration())
		defer cancel()
		store := tr.Boxes()[0].Store()
		name := tr.Engines()[0].Name
		_, err := store.Submit(ctx, table.Edit{ID: "serve-" + models, Changes: []table.Change{
			{Sheet: table.Models, Row: "second", Column: "deadline_ms", Value: "1000"},
			{
				Sheet: table.Upstreams, Row: name, Column: "serves", Value: models,
				BasedOn: store.State().Cell(table.Upstreams, name, "serves").Revision,
			},
			{Sheet: table.Upstreams, Row: name, Column: "checks_tokens", Value: "true"},
		}})
		require.NoError(tr.t, err)
	}
	t.Run("bring an engine's models in line with the table", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(30_000)
			serve(tr, localfleet.Model+";second")
			tr.wait(30_000)
			orders := tr.Engines()[0].Orders()
			assert.ElementsMatch(tr.t, []string{localfleet.Model, "second"}, orders.Models)
			assert.Len(tr.t, orders.Taken, 1)
			assert.Positive(tr.t, orders.Taken[0].Token)
			assert.Zero(tr.t, orders.Overlaps)
		})
	})
	t.Run("are not given without the log", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(30_000)
			serve(tr, localfleet.Model+";second")
			tr.Platform.Log.SetFaults(func(f *standin.LogFaults) { f.Down = true })
			taken := len(tr.Engines()[0].Orders().Taken)
			tr.wait(60_000)
			assert.LessOrEqual(tr.t, len(tr.Engines()[0].Orders().Taken), taken+1)
		})
	})
	t.Run("pass to another box when their holder dies, with a higher token", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(30_000)
			serve(tr, localfleet.Model+";second")
			tr.wait(20_000)
			tr.Boxes()[0].Kill()
			tr.wait(60_000)
			ctx, cancel := context.WithTimeout(tr.t.Context(), (5 * clock.Second).Duration())
			defer cancel()
			store := tr.Boxes()[1].Store()
			name := tr.Engines()[0].Name
			_, err := store.Submit(ctx, table.Edit{ID: "back", Changes: []table.Change{{
				Sheet: table.Upstreams, Row: name, Column: "serves", Value: localfleet.Model,
				BasedOn: store.State().Cell(table.Upstreams, name, "serves").Revision,
			}}})
			require.NoError(tr.t, err)
			tr.wait(20_000)
			orders := tr.Engines()[0].Orders()
			require.Len(tr.t, orders.Taken, 2)
			assert.Greater(tr.t, orders.Taken[1].Token, orders.Taken[0].Token)
			assert.Equal(tr.t, []string{localfleet.Model}, orders.Models)
		})
	})
}

func TestLimits(t *testing.T) {
	t.Run("of an organisation hold over all boxes", func(t *testing.T) {
		run(t, func(tr *trial) {
			tr.wait(10_000)
			ctx, cancel := context.WithTimeout(tr.t.Context(), (5 * clock.Second).Duration())
			defer cancel()
			_, err := tr.Boxes()[0].Store().Submit(ctx, table.Edit{ID: "limit", Changes: []table.Change{
				{Sheet: table.Organisations, Row: "choir", Column: "rate_per_s", Value: "90"},
			}})
			require.NoError(tr.t, err)
			// One box gets four times as many as each of the others.
			sendFor := func(span clock.Millis) (taken int) {
				results := make(chan bool, 10_000)
				sent := 0
				for end := clock.New().Now() + span; clock.New().Now() < end; tr.wait(50) {
					for box := range 9 {
						for range 1 + 3*boolInt(box == 0) {
							sent++
							go func() { results <- tr.get(box) }()
						}
					}
				}
				for range sent {
					taken += boolInt(<-results)
				}
				return taken
			}
			sendFor(20_000)
			const seconds = 30
			taken := sendFor(seconds * clock.Second)
			assert.InDelta(tr.t, 90*seconds, taken, 0.05*90*seconds)
		}, withDomains("north", "south", "west"), withBoxes(3))
	})
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// get sends a repeatable call and reports whether it was let in.
func (tr *trial) get(box int) bool {
	result := tr.caller.Get(tr.t.Context(), load.Filing{
		URL: tr.url(box), Key: localfleet.CallerKey("choir"), Service: localfleet.ServiceName, Path: "/rota",
	})
	return result.Status == 200
}

func TestKeys(t *testing.T) {
	t.Run("of callers are needed", func(t *testing.T) {
		run(t, func(tr *trial) {
			result := tr.chat(0, "s", "a", func(r *load.ChatRequest) { r.Key = "wrong" })
			assert.Equal(tr.t, 401, result.Status)
		})
	})
	t.Run("of a box that is unknown to the fleet keep it out", func(t *testing.T) {
		run(t, func(tr *trial) {
			_, err := tr.StartBox("north", "stranger")
			require.NoError(tr.t, err)
			tr.wait(10_000)
			for _, peer := range tr.Boxes()[0].Status().Peers {
				assert.NotEqual(tr.t, "stranger", peer.Name)
			}
		}, withSettings(func(s *config.Router) {
			if s.Box == "stranger" {
				s.Peers.KeyFile = s.Operators.KeyFile
			}
		}))
	})
}
