package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"dooryard.example/dooryard/platform/standin"
)

// Partitions between boxes and servers, and what servers may do as well: end responses with their connections, be
// brittle, be silent for a second. They have a schedule of their own beside the other faults, so that each can coincide
// with any fault.
const (
	// partitionMinMs and partitionRangeMs are how long a partition lasts: longer than boxes may take to notice.
	partitionMinMs   = 3000
	partitionRangeMs = 3000
	// silenceMs is for how long a sound server is silent.
	silenceMs = 1000
	// restartSpan is how long a server that crashed or fell over is down.
	restartSpan = time.Second
	// brittleRejections is how many requests a brittle server rejects in a second before it falls over, and brittleRoom
	// how many it has room for.
	brittleRejections = 4
	brittleRoom       = 3
)

// injectPartitions starts one partition or other disturbance after the other until ctx ends.
func (f *fleet) injectPartitions(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 6))
	for ctx.Err() == nil {
		span := time.Duration(partitionMinMs+random.IntN(partitionRangeMs)) * time.Millisecond
		switch random.IntN(6) {
		case 0:
			f.partition(ctx, []*box{f.boxes[random.IntN(len(f.boxes))]}, span)
		case 1:
			f.partition(ctx, f.boxesOf(zoneName(random.IntN(domainCount))), span)
		case 2:
			f.partitionAll(ctx, []linkFault{linkRefused, linkBlackhole}[random.IntN(2)], span)
		case 3:
			f.silence(ctx, f.servers[random.IntN(len(f.servers))])
		case 4:
			f.makeBrittle(ctx, span)
		default:
			f.crashInOrder(ctx, f.servers[random.IntN(len(f.servers))])
		}
		sleep(ctx, time.Duration(minDelayMs+random.IntN(faultGapMs))*time.Millisecond)
	}
}

// injectStalls stalls the paths of some boxes to all servers, one time after the other until ctx ends.
func (f *fleet) injectStalls(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.settings.Seed, 7))
	for ctx.Err() == nil {
		boxes := []*box{f.boxes[random.IntN(len(f.boxes))]}
		if random.IntN(2) == 0 {
			boxes = f.boxesOf(zoneName(random.IntN(domainCount)))
		}
		span := time.Duration(partitionMinMs+random.IntN(partitionRangeMs)) * time.Millisecond
		f.withoutServers(ctx, boxes, (*link).stall, span)
		sleep(ctx, time.Duration(minDelayMs+random.IntN(faultGapMs))*time.Millisecond)
	}
}

// boxesOf returns the boxes of a zone.
func (f *fleet) boxesOf(zone string) []*box {
	list := []*box{}
	for i, b := range f.boxes {
		if zoneName(i) == zone {
			list = append(list, b)
		}
	}
	return list
}

// partition separates boxes from all servers for a time: their connections are reset, and new ones as soon as they are
// open.
func (f *fleet) partition(ctx context.Context, boxes []*box, span time.Duration) {
	f.withoutServers(ctx, boxes, (*link).separate, span)
}

// withoutServers takes the paths to all servers from boxes for a time, in one way.
func (f *fleet) withoutServers(
	ctx context.Context, boxes []*box, way func(l *link, boxes []string), span time.Duration,
) {
	names := []string{}
	for _, b := range boxes {
		names = append(names, b.name)
	}
	end := f.history.recordPartition(names)
	for _, s := range f.servers {
		way(s.link, names)
	}
	sleep(ctx, span)
	for _, s := range f.servers {
		way(s.link, nil)
	}
	end()
}

// partitionAll separates all boxes from all servers.
func (f *fleet) partitionAll(ctx context.Context, fault linkFault, span time.Duration) {
	defer f.disturb(allBoxes)()
	for _, s := range f.servers {
		defer f.disturb(s.id())()
	}
	for _, s := range f.servers {
		if s.link.currentFault() == linkHealthy {
			s.link.set(fault)
		}
	}
	sleep(ctx, span)
	for _, s := range f.servers {
		if s.link.currentFault() == fault {
			s.link.set(linkHealthy)
		}
	}
}

// silence makes a sound server silent for a second.
func (f *fleet) silence(ctx context.Context, s *server) {
	defer f.disturb(s.id())()
	s.link.set(linkBlackhole)
	sleep(ctx, silenceMs*time.Millisecond)
	s.link.set(linkHealthy)
}

// makeBrittle makes all servers brittle for a time. They have less room once boxes had the time to notice. One that
// rejects too many requests falls over and is restarted.
func (f *fleet) makeBrittle(ctx context.Context, span time.Duration) {
	setAll := func(b standin.Brittleness) {
		for _, s := range f.servers {
			current := s.incarnation()
			current.SetBrittle(b, func() { f.fall(s, current) })
		}
	}
	setAll(standin.Brittleness{MaxRejections: brittleRejections})
	sleep(ctx, partitionNoticeSpan)
	setAll(standin.Brittleness{MaxRejections: brittleRejections, Room: brittleRoom})
	sleep(ctx, span)
	setAll(standin.Brittleness{})
}

// fall restarts a brittle server that rejected too many requests.
func (f *fleet) fall(s *server, fallen *standin.Server) {
	s.mu.Lock()
	current := !s.down && s.current == fallen
	if current {
		s.down = true
	}
	s.mu.Unlock()
	if !current {
		return
	}
	f.history.recordFall()
	s.link.set(linkRefused)
	f.background.Go(func() {
		time.Sleep(restartSpan)
		s.link.set(linkHealthy)
		f.restartServer(s, true)
	})
}

// crashInOrder makes a server end its responses with their connections for a while, and then crash: its host closes the
// connections in order and refuses new ones.
func (f *fleet) crashInOrder(ctx context.Context, s *server) {
	current := s.incarnation()
	current.SetUnframed(true)
	sleep(ctx, time.Duration(minDelayMs+faultGapMs)*time.Millisecond)
	s.mu.Lock()
	alive := !s.down && s.current == current
	s.down = s.down || alive
	s.mu.Unlock()
	if !alive {
		return
	}
	s.link.set(linkClosed)
	time.Sleep(restartSpan)
	s.link.set(linkHealthy)
	f.restartServer(s, true)
}

func (h *history) recordFall() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.falls++
}

// partitionOf is an interval in which some boxes were partitioned from all servers.
type partitionOf struct {
	boxes []string
	interval
}

// recordPartition records that boxes were partitioned. The returned function records the end.
func (h *history) recordPartition(boxes []string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &partitionOf{boxes: boxes, interval: interval{from: time.Now()}}
	h.partitions = append(h.partitions, p)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		p.to = time.Now()
	}
}

const (
	// partitionNoticeSpan is how long after a partition began its boxes must serve as well as the others.
	partitionNoticeSpan = 2 * time.Second
	// minPartitionRequests is how many requests a box must have got for its share of served ones to count.
	minPartitionRequests = 20
	// partitionSlice is the time within which requests of separated and other boxes are compared. Servers that all ask
	// for backoff do so for longer.
	partitionSlice = 250 * time.Millisecond
)

// separated reports whether a box was separated from the servers at any time in an interval.
func (h *history) separated(box string, from, to time.Time) bool {
	return slices.ContainsFunc(h.partitions, func(p *partitionOf) bool {
		return slices.Contains(p.boxes, box) && p.from.Before(to) && (p.to.IsZero() || p.to.After(from))
	})
}

// partitionStats counts the requests in partitions, after partitionNoticeSpan: those of separated boxes and of others.
type partitionStats struct{ Separated, SeparatedServed, Others, OthersServed int }

func (s partitionStats) plus(other partitionStats) partitionStats {
	return partitionStats{
		s.Separated + other.Separated, s.SeparatedServed + other.SeparatedServed,
		s.Others + other.Others, s.OthersServed + other.OthersServed,
	}
}

// expected returns how many requests of separated boxes would have been served at the share of the others, or at a
// usual one if the others had none.
func (s partitionStats) expected(usualShare float64) float64 {
	if s.Others == 0 {
		return usualShare * float64(s.Separated)
	}
	return float64(s.Separated) * float64(s.OthersServed) / float64(s.Others)
}

// partitionServed counts the requests that undisturbed boxes got during a partition, by the slice in which they were
// sent.
func (h *history) partitionServed(p *partitionOf) map[time.Duration]partitionStats {
	stats := map[time.Duration]partitionStats{}
	from := p.from.Add(partitionNoticeSpan)
	for _, o := range h.outcomes {
		if o.Fatal() != standin.NotFatal || o.Sent.Before(from) || !o.Sent.Before(p.to) || cancelled(o) ||
			!h.disturbances.undisturbed(allBoxes, p.from.Add(-undisturbedSpan), o.Ended) ||
			!h.disturbances.undisturbed(o.Box, p.from.Add(-undisturbedSpan), o.Ended) {
			continue
		}
		served, one := boolInt(o.Complete && o.Status == http.StatusOK), partitionStats{}
		if slices.Contains(p.boxes, o.Box) {
			one.Separated, one.SeparatedServed = 1, served
		} else {
			one.Others, one.OthersServed = 1, served
		}
		slice := o.Sent.Sub(from).Truncate(partitionSlice)
		stats[slice] = stats[slice].plus(one)
	}
	return stats
}

// cancelled reports whether the client left before the response was complete.
func cancelled(o standin.Outcome) bool {
	return !o.Left.IsZero() || strings.Contains(o.Err, context.Canceled.Error())
}

// partitionFigures adds up the requests of all partitions.
func (h *history) partitionFigures() partitionStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := partitionStats{}
	for _, p := range h.partitions {
		for _, s := range h.partitionServed(p) {
			sum = sum.plus(s)
		}
	}
	return sum
}

// checkPartitions checks, with time bounds, that separated boxes served at least two thirds as often as the others did
// at the same time. Callers that are refused send more often, so that a time in which all refuse would count for most.
func (h *history) checkPartitions() []violation {
	violations := []violation{}
	for _, p := range h.partitions {
		sum, expected, stats := partitionStats{}, 0.0, h.partitionServed(p)
		for _, s := range stats {
			sum = sum.plus(s)
		}
		for _, s := range stats {
			expected += s.expected(float64(sum.OthersServed) / float64(max(1, sum.Others)))
		}
		if !h.timed || sum.Separated < minPartitionRequests || sum.Others < minPartitionRequests {
			continue
		}
		if 3*float64(sum.SeparatedServed) < 2*expected {
			violations = append(violations, violation{
				"boxes without servers serve through others", "-",
				fmt.Sprintf("%v served %d of %d, the others %d of %d; at their share at the same time it would be %.0f",
					p.boxes, sum.SeparatedServed, sum.Separated, sum.OthersServed, sum.Others, expected),
			})
		}
	}
	return violations
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
