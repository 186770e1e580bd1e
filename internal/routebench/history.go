package routebench

// history is the truth of the last seconds, from which reports are made, and the
// measures of skew.
type history struct {
	scenario Scenario
	samples  int
	// loads and own are rings of samples: in flight by engine, and by box and
	// engine.
	loads [][]int
	own   [][][]int

	window                 []float64
	inWindow               int
	skew                   float64
	surgeSkew, surgeExcess float64
	excess                 float64
	sum                    float64
	sumCounts              int
}

const windowSamples = reportMs / sampleMs

func newHistory(scenario Scenario) *history {
	h := &history{scenario: scenario, window: make([]float64, scenario.Engines)}
	depth := int(scenario.ReportLagMs/sampleMs) + 1
	for range depth {
		h.loads = append(h.loads, make([]int, scenario.Engines))
		own := make([][]int, scenario.Boxes)
		for box := range own {
			own[box] = make([]int, scenario.Engines)
		}
		h.own = append(h.own, own)
	}
	return h
}

func (h *history) add(r *run) {
	slot := h.samples % len(h.loads)
	for position, e := range r.engines {
		h.loads[slot][position] = e.inFlight
		h.window[position] += float64(e.inFlight)
	}
	for box, v := range r.views {
		for position := range v.Members {
			h.own[slot][box][position] = v.Members[position].InFlight
		}
	}
	h.samples++
	h.inWindow++
	if h.inWindow == windowSamples {
		h.closeWindow(r)
	}
}

// closeWindow compares the busiest engine of a second with the mean.
func (h *history) closeWindow(r *run) {
	total, count, busiest := 0.0, 0, 0.0
	for position, e := range r.engines {
		if e.steady {
			load := h.window[position] / windowSamples
			total += load
			count++
			busiest = max(busiest, load)
		}
		h.window[position] = 0
	}
	h.inWindow = 0
	mean := total / float64(count)
	if !r.measuring() || mean == 0 {
		return
	}
	h.skew = max(h.skew, busiest/mean)
	h.excess = max(h.excess, busiest-mean*BoundPercent/100)
	if r.surging() {
		h.surgeSkew = max(h.surgeSkew, busiest/mean)
		h.surgeExcess = max(h.surgeExcess, busiest-mean*BoundPercent/100)
	}
	h.sum += mean
	h.sumCounts++
}

// report hands each engine's oldest sample to all boxes, once a second, spread
// over the second.
func (h *history) report(r *run) {
	if h.samples < len(h.loads) {
		return
	}
	oldest := h.samples % len(h.loads)
	for position := range r.engines {
		if position%windowSamples != h.samples%windowSamples {
			continue
		}
		for box, v := range r.views {
			v.Report(position, h.loads[oldest][position], h.own[oldest][box][position])
		}
	}
}

func (r *run) result() Result {
	h := r.history
	result := Result{
		Requests: r.requests, Skew: h.skew, Excess: h.excess, SurgeSkew: h.surgeSkew, SurgeExcess: h.surgeExcess,
	}
	if r.owners != nil {
		result.Asks = float64(r.owners.asks) / float64(max(1, r.all))
		result.Forced = r.owners.forced
	}
	if r.prompt > 0 {
		result.Reuse = r.warm / r.prompt
	}
	if r.history.sumCounts > 0 {
		result.MeanInFlight = r.history.sum / float64(r.history.sumCounts)
	}
	return result
}
