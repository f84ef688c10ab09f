package sim

import "time"

// WeightStore is the shared store of weights with its rate limits: loads begin
// at most at a rate, and more than FullSpeed at once share the bandwidth.
// Source: the sizes of the brief (about 1.5 to 2 loads a second, about 10 to
// 20 at once at full speed).
type WeightStore struct {
	StartsPerSecond float64
	FullSpeed       int
	// BytesPerSecond is the speed of one load at full speed.
	BytesPerSecond float64
	nextStart      time.Time
	ends           []time.Time
}

// LoadTime returns how long a load takes that begins now.
func (s *WeightStore) LoadTime(now time.Time, bytes int64) time.Duration {
	start := now
	if s.nextStart.After(now) {
		start = s.nextStart
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.StartsPerSecond))
	active := 1
	var kept []time.Time
	for _, end := range s.ends {
		if end.After(start) {
			kept = append(kept, end)
			active++
		}
	}
	slowdown := max(1, float64(active)/float64(s.FullSpeed))
	took := time.Duration(float64(bytes) / s.BytesPerSecond * slowdown * float64(time.Second))
	end := start.Add(took)
	s.ends = append(kept, end)
	return end.Sub(now)
}
