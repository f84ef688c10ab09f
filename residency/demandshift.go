package residency

import "time"

const (
	// shiftWindow is the age of the rates that the current rates are compared with. A shift of
	// demand takes seconds.
	shiftWindow = 4 * time.Second
	// shiftSampleInterval is the interval between two samples.
	shiftSampleInterval = 500 * time.Millisecond
	// maxShift is the maximum number of positions by which demand can shift at once.
	maxShift = 4
	// minShiftChange is the minimum change of the rates, relative to their earlier values, and
	// minShiftFit the share of this change that a shift must explain. Both are ratios of squares.
	minShiftChange = 0.05
	minShiftFit    = 0.6
)

// rateSample holds the requests that begin each second for each model, in the operator's order.
type rateSample struct {
	at       time.Time
	perModel []float64
}

// demandShift detects by how many positions demand shifts along the operator's list of models. It
// compares the current rates with those a few seconds ago.
type demandShift struct {
	samples []rateSample
	// step is that number of positions. It is zero until a shift was detected.
	step int
}

// observe records the current rates.
func (d *demandShift) observe(now time.Time, present []float64) {
	if len(d.samples) > 0 && now.Sub(d.samples[len(d.samples)-1].at) < shiftSampleInterval {
		return
	}
	for len(d.samples) > 1 && now.Sub(d.samples[1].at) >= shiftWindow {
		d.samples = d.samples[1:]
	}
	if len(d.samples) > 0 && now.Sub(d.samples[0].at) >= shiftWindow && len(d.samples[0].perModel) == len(present) {
		if step := fittingStep(d.samples[0].perModel, present); step > 0 {
			d.step = step
		}
	}
	d.samples = append(d.samples, rateSample{at: now, perModel: present})
}

// fittingStep returns the shift with which a part of the rates before, moved by that many
// positions, and the rest in its old position best match the rates after. It is zero if the rates
// have hardly changed or no shift explains the change.
func fittingStep(before, after []float64) int {
	changed, total := 0.0, 0.0
	for i := range before {
		changed += (after[i] - before[i]) * (after[i] - before[i])
		total += before[i] * before[i]
	}
	if total == 0 || changed < minShiftChange*total {
		return 0
	}
	best, bestFit := 0, minShiftFit
	for step := 1; step <= maxShift; step++ {
		if fit := explainedChange(before, after, step) / changed; fit > bestFit {
			best, bestFit = step, fit
		}
	}
	return best
}

// explainedChange is the part of the squared change that is explained if a share of the demand has
// moved by step positions: the least squares fit of after - before by moved - before.
func explainedChange(before, after []float64, step int) float64 {
	product, square := 0.0, 0.0
	for i := range before {
		moved := 0.0
		if i >= step {
			moved = before[i-step]
		}
		product += (after[i] - before[i]) * (moved - before[i])
		square += (moved - before[i]) * (moved - before[i])
	}
	if product <= 0 || square == 0 {
		return 0
	}
	return product * product / square
}
