package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// partHistory changes a day at random: its requests, crashes and disruptions.
type partHistory struct {
	random *rand.Rand
	// troubles are the disruptions of the day.
	troubles []func(d *partDay)
}

// pick returns one of some values.
func pick[V any](h *partHistory, values ...V) V { return values[h.random.IntN(len(values))] }

// apply changes a day.
func (h *partHistory) apply(d *partDay) {
	d.random = rand.New(rand.NewPCG(h.random.Uint64(), 57))
	d.interval = pick[time.Duration](h, 100, 300, 300, 700, 1200) * time.Millisecond
	d.soundInterval = pick[time.Duration](h, 25, 25, 150, 400) * time.Millisecond
	d.span = max(12*time.Second, 14*d.interval) + 4*time.Second
	d.end = pick(h, crashBeforeHead, crashAfterHead, crashUnframed, crashUnframedFirst)
	d.unframed = h.random.IntN(4) == 0
	d.returns = h.random.IntN(3)
	d.soundPath = pick(h, "/safe/", "/unsafe/", "/stream/", "/resumable/", "/sticky/")
	fatalPath := pick(h, append(routes(), "")...)
	d.fatalPath = func(i int) string {
		if fatalPath == "" {
			return routes()[i%len(routes())]
		}
		return fatalPath
	}
	h.applyPrompts(d)
	if h.random.IntN(3) == 0 {
		d.crashEvery = pick[time.Duration](h, 700, 1500, 4000) * time.Millisecond
		if d.crashEvery > 3*time.Second {
			// The upstreams are back before the next ones crash.
			d.crashCount = 5
		}
	}
	h.troubles = []func(d *partDay){nil, loseDatagrams, cutBoxes, replaceBoxes, storeAway, loseUpstreams}
	d.during = pick(h, h.troubles...)
}

// applyPrompts sets the parts of the requests.
func (h *partHistory) applyPrompts(d *partDay) {
	subjects, fatalParts := pick(h, 2, 8, 40, 200), pick(h, 1, 1, 2)
	heads := pick(h, 1, 1, 3)
	sound := func(i int) string { return fmt.Sprintf("head%d:100,subject%d:50", i%heads, i%subjects) }
	d.sound = func(i int) string { return fmt.Sprintf("%s,own%d:10", sound(i), i) }
	place := h.random.IntN(3)
	d.fatal = func(i int) string {
		part := fmt.Sprintf("fatal%d:50", i%fatalParts)
		switch place {
		case 0:
			return fmt.Sprintf("%s,%s,own-f%d:10", part, sound(i), i)
		case 1:
			return fmt.Sprintf("%s,%s,own-f%d:10", sound(i), part, i)
		default:
			return fmt.Sprintf("head%d:100,%s,subject%d:50,own-f%d:10", i%heads, part, i%subjects, i)
		}
	}
}

func loseDatagrams(d *partDay) {
	d.fleet.network.SetPacketLoss(func() bool { return d.intn(5) == 0 })
}

func cutBoxes(d *partDay) {
	left := map[string]bool{"box-1": true, "box-2": true}
	advance(d.fleet.t, time.Second)
	d.fleet.network.SetPartition(func(from, to string) bool {
		return isBox(from) && isBox(to) && left[from] != left[to]
	})
	advance(d.fleet.t, 4*time.Second)
	d.fleet.network.SetPartition(func(string, string) bool { return false })
}

func replaceBoxes(d *partDay) {
	for i := range 3 {
		advance(d.fleet.t, 2500*time.Millisecond)
		b := d.box(partBoxes + 1 + i)
		d.mu.Lock()
		old := d.boxes[i]
		d.boxes[i] = b
		d.mu.Unlock()
		old.stop()
	}
}

func storeAway(d *partDay) {
	for i := range partBoxes {
		d.fleet.store.setUnavailable(fmt.Sprint("box-", i+1), true)
	}
	advance(d.fleet.t, 4*time.Second)
	for i := range partBoxes {
		d.fleet.store.setUnavailable(fmt.Sprint("box-", i+1), false)
	}
}

func loseUpstreams(d *partDay) {
	d.fleet.network.SetBlackhole(fromUpstreams("box-1", "box-2"))
	advance(d.fleet.t, 5*time.Second)
	d.fleet.network.SetBlackhole(func(string, string) bool { return false })
}

// TestFatalPartHistories guards against combinations in which a fatal part is recognised late, or a sound one held back.
func TestFatalPartHistories(t *testing.T) {
	for seed := range historyCount() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runBesideOthers(t, func(f *fleet) {
				h := &partHistory{random: rand.New(rand.NewPCG(seed, 56))}
				d := newPartDay(h.apply)
				d.run(f)
				f.t.Logf("%v apart, end %d, unframed %v, %s, others each %v", d.interval, d.end, d.unframed, d.soundPath, d.crashEvery)
				d.assertContained()
			})
		})
	}
}
