package picker

import "time"

// maxScan is the number of servers that one choice examines. If none of them is
// free, the scan continues to the first free one.
const maxScan = 20

// FreeSlot picks a server with a free slot, or none if there is no free slot, so
// that calls wait in the entry's queue for the first slot that becomes free and
// not in the queue of one server. Among free servers it prefers, in this order,
// those that are not suspect, those for which this entry is the preferred one,
// those with the most free slots, and those with the shortest expected response
// time. With many servers it examines a window of them, which advances by one
// server with each choice.
type FreeSlot[S ServerView] struct {
	// offset is the index at which the last window started.
	offset int
}

// rank orders free servers; the lowest rank is picked.
type rank struct {
	suspect     bool
	remote      bool
	freeSlots   int
	meanLatency time.Duration
}

// less reports whether a is picked before b.
func (a rank) less(b rank) bool {
	if a.suspect != b.suspect {
		return b.suspect
	}
	if a.remote != b.remote {
		return b.remote
	}
	if a.freeSlots != b.freeSlots {
		return a.freeSlots > b.freeSlots
	}
	return a.meanLatency < b.meanLatency
}

// Pick implements Policy.
func (p *FreeSlot[S]) Pick(r *Request[S]) int {
	n := len(r.Servers)
	if n == 0 {
		return None
	}
	best, bestRank := None, rank{}
	p.offset = (p.offset + 1) % n
	for k := range n {
		if k >= maxScan && best != None {
			break
		}
		i := p.offset + k
		if i >= n {
			i -= n
		}
		s := r.Servers[i]
		freeSlots := s.FreeSlots(r.Now)
		if freeSlots <= 0 || !r.eligible(i) {
			continue
		}
		candidate := rank{suspect: s.Suspect(r.Now), remote: !s.Owned(), freeSlots: freeSlots, meanLatency: s.MeanLatency()}
		if best == None || candidate.less(bestRank) {
			best, bestRank = i, candidate
		}
	}
	return best
}
