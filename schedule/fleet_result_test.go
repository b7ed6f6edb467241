package schedule_test

import (
	"time"
)

// result summarizes the credit of a run.
type result struct {
	total       float64 // share of the possible credit
	byKind      [3]float64
	onTime      [3]float64
	worstWindow float64 // lowest share in a window of four seconds
	refused     int
	served      float64
}

func (s *simulation) credit(r *simRequest) float64 {
	k := requestKinds[r.kind]
	switch {
	case !r.done:
		return 0
	case r.first-r.arrived <= k.goal && r.longestPause <= k.pause:
		return r.credit
	default:
		return r.lateCredit
	}
}

func (s *simulation) result() result {
	var out result
	var earned, possible, count, onTime [3]float64
	windows := map[int][2]float64{}
	done := 0.0
	for _, r := range s.requests {
		c := s.credit(r)
		earned[r.kind] += c
		possible[r.kind] += r.credit
		count[r.kind]++
		if c >= r.credit {
			onTime[r.kind]++
		}
		if r.done {
			done++
		}
		if r.refused {
			out.refused++
		}
		window := int(r.arrived / (4 * time.Second))
		windows[window] = [2]float64{windows[window][0] + c, windows[window][1] + r.credit}
	}
	total, all := 0.0, 0.0
	for k := range earned {
		out.byKind[k] = earned[k] / max(possible[k], 1)
		out.onTime[k] = onTime[k] / max(count[k], 1)
		total += earned[k]
		all += possible[k]
	}
	out.total = total / all
	out.worstWindow = 1
	for _, window := range windows {
		out.worstWindow = min(out.worstWindow, window[0]/window[1])
	}
	out.served = done / float64(len(s.requests))
	return out
}
