package limiter

import "time"

// SlidingMinimum is the minimum of a value over a sliding window. Values are
// sampled; a value lasts until the next sample. Its zero value has a window of 0. It
// is not safe for concurrent use.
//
// The shares of a total that entries compute for themselves add up to the total at
// any moment, but not over a window in which load moves between entries: one spends
// its share before, the other after. If each spends its share's minimum over the
// window that ends now, together they spend at most the total in any window.
type SlidingMinimum struct {
	window time.Duration
	// start is the time of the first sample.
	start time.Time
	// samples holds the samples that are the minimum now or will be later: their
	// values rise. A sample counts until the window after its successor's time.
	samples []minimumSample
}

type minimumSample struct {
	at    time.Time
	value float64
}

// SetWindow sets the length of the window. A change discards all samples.
func (m *SlidingMinimum) SetWindow(window time.Duration) {
	if window != m.window {
		*m = SlidingMinimum{window: window}
	}
}

// Sample records the value as of now, which must not be before the last sample.
func (m *SlidingMinimum) Sample(now time.Time, value float64) {
	if m.start.IsZero() {
		m.start = now
	}
	for n := len(m.samples); n > 0 && m.samples[n-1].value >= value; n-- {
		m.samples = m.samples[:n-1]
	}
	m.samples = append(m.samples, minimumSample{at: now, value: value})
	m.expire(now)
}

// expire removes the samples that were superseded before the window began.
func (m *SlidingMinimum) expire(now time.Time) {
	for len(m.samples) > 1 && now.Sub(m.samples[1].at) >= m.window {
		m.samples = m.samples[1:]
	}
}

// Value returns the minimum over the window that ends at now, and 0 while there are
// samples for a part of the window only.
func (m *SlidingMinimum) Value(now time.Time) float64 {
	if now.Sub(m.start) < m.window {
		return 0
	}
	return m.Least(now)
}

// Least returns the minimum over the part of the window that ends at now for which there
// are samples, and 0 if there are none.
func (m *SlidingMinimum) Least(now time.Time) float64 {
	if len(m.samples) == 0 {
		return 0
	}
	m.expire(now)
	return m.samples[0].value
}
