package capacity

import (
	"fmt"
	"strconv"
	"time"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/membership"
)

// Durations and sizes of a membership run.
const (
	gossipWarmup    = 120 * clock.Second
	gossipMeasure   = 30 * clock.Second
	periodsPerFacts = 4
	framingBytes    = 1 + membership.MACBytes
)

// gossipCost is the cost of membership per box.
type gossipCost struct {
	bytesPerSecond    float64
	messagesPerSecond float64
	// coreShare is the fraction of a core.
	coreShare float64
	heapBytes float64
}

// gossipRun simulates the boxes of a failure domain in one process. Datagrams are delivered immediately.
type gossipRun struct {
	now      clock.Millis
	nodes    []*membership.Node
	queue    []queued
	bytes    int
	messages int
}

type queued struct {
	from, to int
	body     []byte
}

func runGossip(boxes int) gossipCost {
	r := &gossipRun{now: 1_000_000}
	heap := heapBytes(func() *gossipRun {
		r.build(boxes)
		r.run(gossipWarmup)
		return r
	})
	r.bytes, r.messages = 0, 0
	start := time.Now()
	r.run(gossipMeasure)
	elapsed := time.Since(start)
	seconds := float64(gossipMeasure) / float64(clock.Second) * float64(boxes)
	// Each byte counts twice: one box sends it and another receives it.
	const bothWays = 2
	return gossipCost{
		bytesPerSecond:    bothWays * float64(r.bytes) / seconds,
		messagesPerSecond: bothWays * float64(r.messages) / seconds,
		coreShare:         elapsed.Seconds() / seconds,
		heapBytes:         heap / float64(boxes),
	}
}

func (r *gossipRun) build(boxes int) {
	listed := map[string]string{}
	for i := range boxes {
		listed[fmt.Sprintf("north-box-%03d", i)] = strconv.Itoa(i)
	}
	for i := range boxes {
		node := membership.NewNode(membership.Box{
			Name: fmt.Sprintf("north-box-%03d", i), Domain: "north",
			GossipAddress: strconv.Itoa(i), PeerAddress: "10.11.12.13:8021",
		}, uint32(r.now/clock.Second))
		node.SetKnownAddresses(listed)
		r.nodes = append(r.nodes, node)
	}
}

func (r *gossipRun) run(duration clock.Millis) {
	period := membership.DefaultSettings().PeriodMs
	for end := r.now + duration; r.now < end; r.now += period {
		for i, node := range r.nodes {
			if (int(r.now/period)+i)%periodsPerFacts == 0 {
				node.SetFacts(targetFacts())
			}
			r.send(i, node.Tick(r.now))
			r.deliver()
		}
	}
}

// targetFacts returns the facts that a box sends in a fleet of the target size.
func targetFacts() membership.Facts {
	facts := membership.Facts{TableOffset: 5_000_000, InFlight: 240}
	for i := range 4 {
		facts.Demand = append(facts.Demand, membership.Demand{
			Organisation: membership.OrganisationID(strconv.Itoa(i)), PerSecond: 400,
		})
	}
	return facts
}

func (r *gossipRun) send(from int, out []membership.Outgoing) {
	for _, o := range out {
		to, err := strconv.Atoi(o.Address)
		if err != nil || to >= len(r.nodes) {
			continue
		}
		r.bytes += len(o.Body) + framingBytes
		r.messages++
		r.queue = append(r.queue, queued{from: from, to: to, body: o.Body})
	}
}

func (r *gossipRun) deliver() {
	for len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		out, err := r.nodes[next.to].Receive(r.now, strconv.Itoa(next.from), next.body)
		if err == nil {
			r.send(next.to, out)
		}
	}
}

// GossipBytes returns the bytes per second that a box sends and receives for membership, for several sizes of the
// failure domain.
func GossipBytes() map[string]float64 {
	figures := map[string]float64{}
	for _, boxes := range []int{9, 90} {
		figures[fmt.Sprintf("bytes a second at %d boxes", boxes)] = runGossip(boxes).bytesPerSecond
	}
	return figures
}
