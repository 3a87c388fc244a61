package dispatcher

import "time"

// minUsableRatio is the minimum fraction of the servers that are not draining
// that must remain after ejection.
const minUsableRatio = 0.5

// Add adds a server. A cold server starts with a limit of one call, which rises
// with its responses. If a server of the name and address exists, only owned is
// updated; a server of the same name at another address is replaced.
func (d *Dispatcher) Add(name, addr, domain string, owned, cold bool) *Server {
	if s := d.Find(name); s != nil && s.addr == addr {
		s.owned = owned
		return s
	}
	d.Remove(name)
	s := &Server{name: name, addr: addr, domain: domain, slots: d.options.Slots, rampLimit: d.options.Slots, hedgeTrials: d.options.HedgeRatio > 0, owned: owned}
	if cold {
		s.rampLimit, s.rampRemaining = 1, rampResponses
	}
	d.servers = append(d.servers, s)
	return s
}

// Remove removes a server. Attempts in flight must still be ended with Finish.
func (d *Dispatcher) Remove(name string) {
	kept := d.servers[:0:0]
	for _, s := range d.servers {
		if s.name != name {
			kept = append(kept, s)
		}
	}
	d.servers = kept
}

// Find returns the server with the name, or nil.
func (d *Dispatcher) Find(name string) *Server {
	for _, s := range d.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Servers returns the servers. The caller must not modify the slice.
func (d *Dispatcher) Servers() []*Server { return d.servers }

// MarkDraining records that a server has announced that it is draining.
func (d *Dispatcher) MarkDraining(name string) {
	if s := d.Find(name); s != nil {
		s.selfDraining = true
	}
}

// UpdateDraining records indirect observations of a server: whether the
// platform's list marks it as draining, and whether another entry does.
func (d *Dispatcher) UpdateDraining(name string, listed, byPeer bool) {
	if s := d.Find(name); s != nil {
		s.listedDraining, s.peerDraining = listed, byPeer
	}
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	// OK indicates that the probe succeeded.
	OK bool
	// Draining indicates that the response marked the server as draining.
	Draining bool
	// Load is the reported load, or negative if none was reported.
	Load int
}

// RecordProbe records the result of a probe. Only a probe clears a server's own
// drain mark: no calls are sent to check whether the server is still draining.
func (d *Dispatcher) RecordProbe(now time.Time, name string, r ProbeResult) {
	s := d.Find(name)
	if s == nil {
		return
	}
	if !r.OK {
		s.recordFailure(now)
		d.updateEjection(now)
		return
	}
	s.lastResponse = now
	s.selfDraining = r.Draining
	if r.Load >= 0 {
		s.recordReport(now, r.Load)
	}
	if s.failing() {
		// A successful probe shows that the server responds, not that calls
		// succeed. End the ejection so that a trial call can be sent.
		s.ejectedUntil = now
	}
	d.updateEjection(now)
}

// updateEjection counts the failing servers and suspends ejection while fewer
// than minUsableRatio of the servers that are not draining would remain.
func (d *Dispatcher) updateEjection(now time.Time) {
	notDraining, remaining := 0, 0
	d.failing = 0
	for _, s := range d.servers {
		if s.failing() {
			d.failing++
		}
		if s.Draining() {
			continue
		}
		notDraining++
		if !s.Ejected(now) {
			remaining++
		}
	}
	suspended := float64(remaining) < minUsableRatio*float64(notDraining)
	for _, s := range d.servers {
		s.ejectionSuspended = suspended
	}
}
