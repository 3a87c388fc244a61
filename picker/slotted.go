package picker

import "time"

// maxScan is how many servers one choice looks at before it takes the best
// free one among them.
const maxScan = 20

// Slotted picks a server that has a free slot, and none if there is none, so
// that calls wait at the entry for the first slot and not behind one server.
// Among free servers it prefers one that is not suspect, one that this entry
// comes first for, the one with the largest free part, and the one with the
// shortest expected time. With many servers it looks at a window of them that
// moves on with each choice.
type Slotted[S View] struct {
	// offset is where the next window starts.
	offset int
}

// rank orders free servers; the lower is taken.
type rank struct {
	suspect bool
	away    bool
	free    int
	wait    time.Duration
}

func (a rank) before(b rank) bool {
	if a.suspect != b.suspect {
		return b.suspect
	}
	if a.away != b.away {
		return b.away
	}
	if a.free != b.free {
		return a.free > b.free
	}
	return a.wait < b.wait
}

// Pick implements Policy.
func (p *Slotted[S]) Pick(r *Request[S]) int {
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
		free := s.Free(r.Now)
		if free <= 0 || !r.open(i) {
			continue
		}
		c := rank{suspect: s.Suspect(r.Now), away: !s.Home(), free: free, wait: s.Expected()}
		if best == None || c.before(bestRank) {
			best, bestRank = i, c
		}
	}
	return best
}
