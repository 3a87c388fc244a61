package placer

import (
	"math/bits"
	"time"
)

const (
	// responseResolution is the width of the first buckets. From 8 of it on, a bucket is an
	// eighth of a power of two wide, so that a quantile is at most 12.5% too high.
	responseResolution = time.Millisecond
	responseBuckets    = 128
	bucketsPerOctave   = 8
	// responseWeight is the count of one response. Counts above 1 outlast being halved.
	responseWeight = 16
	// maxResponseWeight is the total count at which all are halved: the histogram covers the
	// last 256 to 512 responses, half a minute of a route with ten requests a second.
	maxResponseWeight = 512 * responseWeight
)

// ResponseTimes is a histogram of the latest response times of the requests of one kind. Its
// zero value has no response. It allocates nothing.
type ResponseTimes struct {
	counts [responseBuckets]uint16
	total  int
}

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	v := uint64(max(d, 0) / responseResolution)
	octave := max(bits.Len64(v)-4, 0)
	return min(octave*bucketsPerOctave+int(v>>octave), responseBuckets-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(bucket int) time.Duration {
	octave := max(bucket/bucketsPerOctave-1, 0)
	return time.Duration(bucket-octave*bucketsPerOctave+1) << octave * responseResolution
}

// Record adds a response time.
func (r *ResponseTimes) Record(d time.Duration) {
	r.counts[bucketOf(d)] += responseWeight
	r.total += responseWeight
	if r.total < maxResponseWeight {
		return
	}
	r.total = 0
	for i := range r.counts {
		r.counts[i] /= 2
		r.total += int(r.counts[i])
	}
}

// Count returns the number of responses that the histogram covers.
func (r *ResponseTimes) Count() int { return r.total / responseWeight }

// Quantile returns the time within which the fraction q of the responses came, 0 before the
// first one.
func (r *ResponseTimes) Quantile(q float64) time.Duration { return r.quantileFrom(0, r.total, q) }

// TailMedian returns the median of the response times that are longer than d, 0 if there is
// none.
func (r *ResponseTimes) TailMedian(d time.Duration) time.Duration {
	first := bucketOf(d) + 1
	total := 0
	for _, n := range r.counts[min(first, responseBuckets):] {
		total += int(n)
	}
	return r.quantileFrom(first, total, 0.5)
}

// quantileFrom returns the quantile q of the buckets from first on, whose counts add up to total.
func (r *ResponseTimes) quantileFrom(first, total int, q float64) time.Duration {
	if total == 0 {
		return 0
	}
	sum := 0
	for i := first; i < responseBuckets; i++ {
		sum += int(r.counts[i])
		if float64(sum) >= q*float64(total) {
			return bucketEnd(i)
		}
	}
	return bucketEnd(responseBuckets - 1)
}
