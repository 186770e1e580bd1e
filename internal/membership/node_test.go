package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// envelopeBytes is what a datagram adds to the body: the channel's name and the authentication
// code.
const envelopeBytes = 1 + MACBytes

// domain simulates the boxes of one failure domain with a shared clock. Datagrams arrive a
// millisecond after they were sent.
type domain struct {
	t      testing.TB
	now    clock.Millis
	nodes  []*Node
	random *rand.Rand
	loss   float64
	// paused boxes do nothing, and messages to them are queued.
	paused map[int]bool
	dead   map[int]bool
	queue  []delivery
	bytes  []int
}

type delivery struct {
	at       clock.Millis
	from, to int
	body     []byte
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func boxName(i int) string { return fmt.Sprintf("box-%03d", i) }

func newDomain(tb testing.TB, count int) *domain {
	tb.Helper()
	d := &domain{
		t: tb, now: 1_000_000, random: rand.New(rand.NewPCG(1, uint64(count))),
		paused: map[int]bool{}, dead: map[int]bool{}, bytes: make([]int, count),
	}
	listed := map[string]string{}
	for i := range count {
		listed[boxName(i)] = address(i)
	}
	for i := range count {
		self := Box{Name: boxName(i), Domain: "north", GossipAddress: address(i), PeerAddress: address(i)}
		node := NewNode(self, uint32(d.now/clock.Second))
		node.SetKnownAddresses(listed)
		d.nodes = append(d.nodes, node)
	}
	return d
}

const stepMs = 10

// run advances the clock by a span. Boxes tick at different times within the period.
func (d *domain) run(span clock.Millis) {
	period := DefaultSettings().PeriodMs
	for end := d.now + span; d.now < end; d.now += stepMs {
		d.deliver()
		for i, node := range d.nodes {
			ticks := (d.now+clock.Millis(i*stepMs))%period == 0
			if d.dead[i] || d.paused[i] || !ticks {
				continue
			}
			if node.period%factsEvery == 0 {
				node.SetFacts(Facts{TableOffset: 14_000, InFlight: 24, Demand: []Demand{{Organisation: 7, PerSecond: 100}}})
			}
			d.send(i, node.Tick(d.now))
		}
	}
}

func (d *domain) send(from int, out []Outgoing) {
	for _, o := range out {
		d.bytes[from] += len(o.Body) + envelopeBytes
		if d.random.Float64() < d.loss {
			continue
		}
		var to int
		_, err := fmt.Sscanf(o.Address, "10.0.0.%d:1", &to)
		require.NoError(d.t, err)
		d.queue = append(d.queue, delivery{at: d.now + 1, from: from, to: to, body: o.Body})
	}
}

func (d *domain) deliver() {
	due := d.queue
	d.queue = nil
	for _, q := range due {
		switch {
		case d.dead[q.to]:
		case d.paused[q.to]:
			d.queue = append(d.queue, q)
		default:
			d.bytes[q.to] += len(q.body) + envelopeBytes
			out, err := d.nodes[q.to].Receive(d.now, address(q.from), q.body)
			require.NoError(d.t, err)
			d.send(q.to, out)
		}
	}
}

// viewers returns the number of boxes that consider box i live.
func (d *domain) viewers(i int) int {
	count := 0
	for j, node := range d.nodes {
		if j == i || d.dead[j] {
			continue
		}
		if m := node.members[NewID(boxName(i))]; m != nil && m.status <= Suspect {
			count++
		}
	}
	return count
}

func (d *domain) assertFullView() {
	for i := range d.nodes {
		assert.Equal(d.t, len(d.nodes)-1, d.viewers(i), "box %d", i)
	}
}

var domainSizes = []int{3, 9, 90}

func forEachSize(t *testing.T, test func(t *testing.T, d *domain)) {
	t.Helper()
	for _, count := range domainSizes {
		t.Run(fmt.Sprint(count, " boxes"), func(t *testing.T) {
			d := newDomain(t, count)
			d.run(20 * clock.Second)
			d.assertFullView()
			test(t, d)
		})
	}
}

func TestBoxThatDies(t *testing.T) {
	forEachSize(t, func(t *testing.T, d *domain) {
		t.Helper()
		for _, victim := range []int{0, len(d.nodes) / 2} {
			d.dead[victim] = true
			d.run(4990)
			assert.Zero(t, d.viewers(victim), "all boxes detect it within 5 s")
		}
	})
}

func TestRackOfBoxesThatDies(t *testing.T) {
	d := newDomain(t, 90)
	d.run(20 * clock.Second)
	for i := range 9 {
		d.dead[10*i] = true
	}
	d.run(6 * clock.Second)
	for i := range 9 {
		assert.Zero(t, d.viewers(10*i))
	}
	assert.Equal(t, 80, d.viewers(1), "the other boxes remain members")
}

func TestBoxThatPauses(t *testing.T) {
	forEachSize(t, func(t *testing.T, d *domain) {
		t.Helper()
		for round := range 5 {
			d.paused[1] = true
			d.run(3 * clock.Second)
			d.paused[1] = false
			for range 20 {
				d.run(100)
				assert.Equal(t, len(d.nodes)-1, d.viewers(1), "round %d", round)
			}
			d.run(5 * clock.Second)
		}
	})
}

func TestLossOfDatagrams(t *testing.T) {
	forEachSize(t, func(t *testing.T, d *domain) {
		t.Helper()
		d.loss = 0.1
		for range 60 {
			d.run(clock.Second)
			d.assertFullView()
		}
	})
}

func TestBoxThatLeaves(t *testing.T) {
	forEachSize(t, func(t *testing.T, d *domain) {
		t.Helper()
		d.send(1, d.nodes[1].Leave())
		d.run(3 * clock.Second)
		assert.Zero(t, d.viewers(1))
	})
}

func TestBoxThatComesBack(t *testing.T) {
	d := newDomain(t, 9)
	d.run(10 * clock.Second)
	d.dead[1] = true
	d.run(10 * clock.Second)
	require.Zero(t, d.viewers(1))
	t.Run("rejoins with a new incarnation", func(t *testing.T) {
		d.nodes[1] = NewNode(d.nodes[1].self, uint32(d.now/clock.Second))
		d.nodes[1].SetKnownAddresses(map[string]string{boxName(0): address(0)})
		delete(d.dead, 1)
		d.run(3 * clock.Second)
		assert.Equal(t, 8, d.viewers(1))
	})
	t.Run("refutes its removal after a pause", func(t *testing.T) {
		d.paused[2] = true
		d.run(20 * clock.Second)
		require.Zero(t, d.viewers(2))
		delete(d.paused, 2)
		d.run(15 * clock.Second)
		d.assertFullView()
	})
}

// TestBytes bounds the bytes that membership sends and receives per box, including facts.
func TestBytes(t *testing.T) {
	for _, c := range []struct {
		boxes, limit int
	}{{9, 1000}, {90, 1600}} {
		t.Run(fmt.Sprint(c.boxes, " boxes"), func(t *testing.T) {
			d := newDomain(t, c.boxes)
			d.run(90 * clock.Second)
			clear(d.bytes)
			d.run(60 * clock.Second)
			busiest := 0
			for _, bytes := range d.bytes {
				busiest = max(busiest, bytes/60)
			}
			t.Logf("busiest box: %d bytes a second", busiest)
			assert.Less(t, busiest, c.limit)
		})
	}
}

func TestFacts(t *testing.T) {
	t.Run("of at least 85 boxes reach every box of a domain of 90 within 90 s", func(t *testing.T) {
		d := newDomain(t, 90)
		d.run(90 * clock.Second)
		for _, node := range d.nodes {
			assert.GreaterOrEqual(t, len(node.FactsOf()), 85)
		}
	})
	t.Run("of another domain are kept for a limited time", func(t *testing.T) {
		d := newDomain(t, 2)
		remote := NewNode(Box{Name: "far", Domain: "south"}, 1)
		out := remote.SendDomainFacts(address(0), NewID("south"), d.now, Facts{TableOffset: 5, Boxes: 3})
		_, err := d.nodes[0].Receive(d.now, "far", out[0].Body)
		require.NoError(t, err)
		assert.EqualValues(t, 3, d.nodes[0].DomainFacts(d.now, 1000)[NewID("south")].Boxes)
		assert.Empty(t, d.nodes[0].DomainFacts(d.now+2000, 1000))
		assert.Len(t, d.nodes[0].OtherDomainBoxes(d.now, 1000), 1)
		assert.Equal(t, []string{boxName(0)}, d.nodes[0].Live(), "the box is not a member")
	})
}

func FuzzReceive(f *testing.F) {
	node := NewNode(Box{Name: "a", Domain: "north"}, 1)
	for _, out := range [][]Outgoing{node.Join("x"), node.SendDomainFacts("x", 1, 1, Facts{Boxes: 1})} {
		f.Add(out[0].Body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		receiver := NewNode(Box{Name: "b", Domain: "north"}, 1)
		if _, err := receiver.Receive(1, "x", body); err != nil {
			var p packet
			if cbor.Unmarshal(body, &p) == nil && p.validate() == nil && len(p.Updates) < maxArrayLength && len(p.Facts) < maxArrayLength {
				t.Logf("dropped: %v", err)
			}
		}
	})
}
