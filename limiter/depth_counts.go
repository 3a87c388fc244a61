package limiter

// depthCounts counts the flows with at least d waiting requests, for each depth d above 0. Its sums
// take logarithmic time: they are kept in a Fenwick tree. Its zero value counts none.
type depthCounts struct {
	// counts holds the counts by depth - 1, and partial those of the Fenwick tree.
	counts, partial []int32
}

const (
	minDepths = 16
	// maxIdleDepths bounds what is kept without flows. A longer list was needed by a flood.
	maxIdleDepths = 1 << 10
)

// add changes the count of a depth by n.
func (d *depthCounts) add(depth, n int) {
	if depth > len(d.counts) {
		d.grow(max(minDepths, 2*len(d.counts), depth))
	}
	d.counts[depth-1] += int32(n)
	for i := depth; i <= len(d.partial); i += i & -i {
		d.partial[i-1] += int32(n)
	}
}

func (d *depthCounts) grow(size int) {
	counts := d.counts
	d.counts, d.partial = make([]int32, size), make([]int32, size)
	for i, n := range counts {
		if n != 0 {
			d.add(i+1, int(n))
		}
	}
}

// count returns the number of flows with at least depth requests.
func (d *depthCounts) count(depth int) int {
	if depth > len(d.counts) {
		return 0
	}
	return int(d.counts[depth-1])
}

// sum returns the sum of the counts up to a depth: that of the requests of all flows, of each at
// most depth.
func (d *depthCounts) sum(depth int) int {
	n := 0
	for i := min(depth, len(d.partial)); i > 0; i -= i & -i {
		n += int(d.partial[i-1])
	}
	return n
}

// trim discards long lists. There must be no flows.
func (d *depthCounts) trim() {
	if len(d.counts) > maxIdleDepths {
		*d = depthCounts{}
	}
}
