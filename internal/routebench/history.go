package routebench

// history holds the true loads of the last seconds, from which delayed reports are made, and the measured skew.
type history struct {
	scenario Scenario
	samples  int
	// loads and loadsByBox are ring buffers of samples of the requests in flight, by engine and by box and engine.
	loads      [][]int
	loadsByBox [][][]int

	window                 []float64
	inWindow               int
	skew                   float64
	surgeSkew, surgeExcess float64
	excess                 float64
	meanSum                float64
	meanCount              int
}

const windowSamples = reportMs / sampleMs

func newHistory(scenario Scenario) *history {
	h := &history{scenario: scenario, window: make([]float64, scenario.Engines)}
	depth := int(scenario.ReportLagMs/sampleMs) + 1
	for range depth {
		h.loads = append(h.loads, make([]int, scenario.Engines))
		loadsByBox := make([][]int, scenario.Boxes)
		for box := range loadsByBox {
			loadsByBox[box] = make([]int, scenario.Engines)
		}
		h.loadsByBox = append(h.loadsByBox, loadsByBox)
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
			h.loadsByBox[slot][box][position] = v.Members[position].InFlight
		}
	}
	h.samples++
	h.inWindow++
	if h.inWindow == windowSamples {
		h.closeWindow(r)
	}
}

// closeWindow ends a window of one second and compares its busiest engine with the mean of the engines that were up all
// along.
func (h *history) closeWindow(r *run) {
	total, count, busiest := 0.0, 0, 0.0
	for position, e := range r.engines {
		if e.stable {
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
	h.meanSum += mean
	h.meanCount++
}

// report delivers the oldest sample of each engine to all boxes once per second. The reports of different engines are
// spread over the second.
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
			v.Report(position, h.loads[oldest][position], h.loadsByBox[oldest][box][position])
		}
	}
}

func (r *run) result() Result {
	h := r.history
	result := Result{
		Requests: r.requests, Skew: h.skew, Excess: h.excess, SurgeSkew: h.surgeSkew, SurgeExcess: h.surgeExcess,
	}
	if r.owners != nil {
		result.Asks = float64(r.owners.questions) / float64(max(1, r.allRequests))
		result.Forced = r.owners.forced
	}
	if r.promptTokens > 0 {
		result.Reuse = r.cachedTokens / r.promptTokens
	}
	if r.history.meanCount > 0 {
		result.MeanInFlight = r.history.meanSum / float64(r.history.meanCount)
	}
	return result
}
