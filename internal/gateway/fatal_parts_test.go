package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/pkg/config"
)

// runPartDay plays a day and checks that fatal requests are held back and sound ones are not.
func runPartDay(t *testing.T, change ...func(d *partDay)) {
	t.Helper()
	runBesideOthers(t, func(f *fleet) {
		d := newPartDay(change...)
		d.run(f)
		d.assertContained()
	})
}

func onPath(path string) func(d *partDay) {
	return func(d *partDay) { d.soundPath, d.fatalPath = path, func(int) string { return path } }
}

// TestFatalPart guards against requests that crash upstreams by a part of their prompts, each with another content.
func TestFatalPart(t *testing.T) {
	for _, c := range []struct {
		name         string
		fatal, sound func(i int) string
	}{
		{
			"the fatal part is an inner one",
			func(i int) string { return fmt.Sprintf("head:100,subject%d:50,fatal:50,own%d:10", i%8, i) },
			func(i int) string { return fmt.Sprintf("head:100,subject%d:50,own%d:10", i%8, i) },
		},
		{
			"the fatal part is the first one",
			func(i int) string { return fmt.Sprintf("fatal:100,subject%d:50,own%d:10", i%8, i) },
			func(i int) string { return fmt.Sprintf("head%d:100,subject%d:50,own%d:10", i%2, i%8, i) },
		},
		{
			"all requests share their first part",
			func(i int) string { return fmt.Sprintf("head:100,fatal:50,own%d:10", i) },
			func(i int) string { return fmt.Sprintf("head:100,subject%d:50,own%d:10", i%8, i) },
		},
		{
			"two fatal parts come at once",
			func(i int) string { return fmt.Sprintf("head:100,fatal%d:50,own%d:10", i%2, i) },
			func(i int) string { return fmt.Sprintf("head:100,subject%d:50,own%d:10", i%8, i) },
		},
		{
			"the parts beside the fatal one are seldom alone",
			func(i int) string { return fmt.Sprintf("head:100,beside:50,fatal:50,own%d:10", i) },
			func(i int) string {
				if i%40 == 0 {
					return fmt.Sprintf("head:100,beside:50,own%d:10", i)
				}
				return fmt.Sprintf("head:100,subject%d:50,own%d:10", i%8, i)
			},
		},
		{
			"sound requests have many subjects",
			func(i int) string { return fmt.Sprintf("head:100,subject%d:50,fatal:50,own%d:10", i%200, i) },
			func(i int) string { return fmt.Sprintf("head:100,subject%d:50,own%d:10", i%200, i) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			runPartDay(t, func(d *partDay) { d.fatal, d.sound = c.fatal, c.sound })
		})
	}
	t.Run("one comes in 1.2 s", func(t *testing.T) {
		runPartDay(t, func(d *partDay) { d.interval, d.span = 1200*time.Millisecond, 24*time.Second })
	})
	t.Run("refused requests return at once", func(t *testing.T) {
		runPartDay(t, func(d *partDay) { d.returns = 3 })
	})
	t.Run("nearly all requests have it", func(t *testing.T) {
		runPartDay(t, func(d *partDay) {
			d.interval, d.soundInterval, d.span = 100*time.Millisecond, 2*time.Second, 90*time.Second
		})
	})
	t.Run("sound requests had the part until it became fatal", func(t *testing.T) {
		runPartDay(t, func(d *partDay) {
			d.sound = func(i int) string {
				if i%8 == 0 && i < 160 {
					return fmt.Sprintf("head:100,%s:50,own%d:10", becomesFatal, i)
				}
				return fmt.Sprintf("head:100,subject%d:50,own%d:10", i%8, i)
			}
			d.fatal = func(i int) string { return fmt.Sprintf("head:100,%s:50,own-fatal%d:10", becomesFatal, i) }
		})
	})
}

// becomesFatal is a part that upstreams answer at first. Requests that crash them say so in their last part.
const becomesFatal = "turns"

// TestFatalPartRoutes guards against fatal requests of a kind of route whose crashes aren't attributed to their parts.
func TestFatalPartRoutes(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/", "/unsafe2/", "/stream/", "/resumable/", "/sticky/"} {
		t.Run(path[1:len(path)-1], func(t *testing.T) { runPartDay(t, onPath(path)) })
	}
	t.Run("all at once", func(t *testing.T) {
		runPartDay(t, func(d *partDay) {
			d.fatalPath = func(i int) string { return routes()[i%len(routes())] }
		})
	})
}

// TestFatalPartEnds guards against crashes that aren't recognised by how the connection ends.
func TestFatalPartEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		end  crashEnd
	}{
		{"before the head", crashBeforeHead},
		{"after the head", crashAfterHead},
		{"without length or chunks", crashUnframed},
		{"without a sign", crashSilent},
		{"without length or chunks, before the host refuses connections", crashUnframedFirst},
	} {
		for _, path := range []string{"/stream/", "/sticky/"} {
			for _, unframed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, sound responses unframed %v", c.name, path[1:len(path)-1], unframed), func(t *testing.T) {
					runPartDay(t, onPath(path), func(d *partDay) { d.end, d.unframed = c.end, unframed })
				})
			}
		}
	}
}

// TestFatalPartSilentHosts guards against crashes that boxes notice only when entries are removed, while requests go on to
// other upstreams.
func TestFatalPartSilentHosts(t *testing.T) {
	for _, path := range []string{"/safe/", "/sticky/", "/stream/"} {
		for seed := range historyCount() / 3 {
			t.Run(fmt.Sprintf("%s, seed %d", path[1:len(path)-1], seed), func(t *testing.T) {
				runPartDay(t, onPath(path), func(d *partDay) {
					d.end, d.random = crashSilent, rand.New(rand.NewPCG(seed, 60))
				})
			})
		}
	}
}

// TestFatalPartAcrossBoxes guards against boxes that don't know a fatal part which others know.
func TestFatalPartAcrossBoxes(t *testing.T) {
	for _, c := range []struct {
		name   string
		during func(d *partDay)
	}{
		{"a box starts", func(d *partDay) {
			advance(d.fleet.t, 5*time.Second)
			d.addBox(d.box(partBoxes + 1))
		}},
		{"boxes are killed and replaced", replaceBoxes},
		{"two boxes are cut off from the others for some seconds", cutBoxes},
		{"two boxes can't reach the upstreams for some seconds", loseUpstreams},
		{"the store is away", storeAway},
	} {
		t.Run(c.name, func(t *testing.T) { runPartDay(t, func(d *partDay) { d.during = c.during }) })
	}
	t.Run("all boxes are killed and started again", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			d := newPartDay(func(d *partDay) { d.span, d.during = 30*time.Second, replaceAllBoxes })
			d.run(f)
			d.assertContained()
			assert.Zero(t, d.sendsAfter(d.calmMs), "fatal requests sent by boxes that have just started")
		})
	})
}

// replaceAllBoxes stops all boxes, and starts others once they have ended.
func replaceAllBoxes(d *partDay) {
	t := d.fleet.t
	advance(t, 6*time.Second)
	for _, b := range d.boxes {
		b.stop()
	}
	advance(t, 9*time.Second)
	list := []*running{d.fleet.box(11, withDomain("d0"))}
	for i := 12; i < 12+partBoxes-1; i++ {
		list = append(list, d.fleet.box(i, withContact(list[0]), withDomain(fmt.Sprint("d", i%restartDomains))))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.boxes, d.calmMs = list, d.fleet.clock.Monotonic()
}

// addBox lets callers use another box.
func (d *partDay) addBox(b *running) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.boxes = append(d.boxes, b)
}

// TestFatalPartAfterHold guards against one crash at each box when the hold of a part ends.
func TestFatalPartAfterHold(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		d := newPartDay(func(d *partDay) { d.span = 60 * time.Second })
		d.begin(f)
		for i := range partBoxes {
			d.boxes = append(d.boxes, d.box(i+1, func(g *config.Gateway) { g.Quarantine.HoldMs = 20_000 }))
		}
		d.play()
		d.assertContained()
	})
}

// TestCrashesWithoutFatalPart guards against holding back sound requests while upstreams crash for other reasons.
func TestCrashesWithoutFatalPart(t *testing.T) {
	for _, c := range []struct {
		name     string
		every    time.Duration
		count    int
		subjects int
		path     string
		unframed bool
		end      crashEnd
	}{
		{"three in a second", 300 * time.Millisecond, 1, 8, "/sticky/", false, crashAfterHead},
		{"three in a second, rare subjects", 300 * time.Millisecond, 1, 400, "/stream/", false, crashAfterHead},
		{"one in a second, unframed responses", time.Second, 1, 20, "/stream/", true, crashAfterHead},
		{"half of them at once, each 5 s", 5 * time.Second, partUpstreams / 2, 40, "/safe/", false, crashAfterHead},
		{"nearly all at once, each 5 s", 5 * time.Second, partUpstreams - 2, 4, "/unsafe/", false, crashAfterHead},
		{"nearly all at once, each 5 s, unframed responses", 5 * time.Second, partUpstreams - 2, 40, "/resumable/", true, crashAfterHead},
		{"two in a second, silent hosts", 500 * time.Millisecond, 1, 8, "/sticky/", false, crashSilent},
		{"two in a second, silent hosts, rare subjects", 500 * time.Millisecond, 1, 400, "/stream/", false, crashSilent},
		{"half of them at once, each 5 s, silent hosts", 5 * time.Second, partUpstreams / 2, 40, "/safe/", false, crashSilent},
	} {
		t.Run(c.name, func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				d := newPartDay(onPath(c.path), func(d *partDay) {
					d.fatal, d.crashEvery, d.crashCount, d.unframed, d.span = nil, c.every, c.count, c.unframed, 20*time.Second
					d.end = c.end
					d.sound = func(i int) string { return fmt.Sprintf("head:100,subject%d:50,own%d:10", i%c.subjects, i) }
				})
				d.run(f)
				d.mu.Lock()
				defer d.mu.Unlock()
				const calmEndsMs = 6 * clock.Second
				before, during := d.soundShare(0, calmEndsMs), d.soundShare(calmEndsMs, f.clock.Monotonic()-clock.Second)
				f.t.Logf("%d crashes; sound requests begin %.3f before, %.3f meanwhile, %d of %d held back",
					len(d.othersMs), before, during, d.heldBack, len(d.calls))
				assert.GreaterOrEqual(f.t, during, minSoundShare*before)
			})
		})
	}
}
