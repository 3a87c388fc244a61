package dispatcher

import "time"

// keptPart is the part of the servers that ejection must leave.
const keptPart = 0.5

// Add makes a server known. A cold one starts with a limit of one call and
// ramps up with its answers. A known name at the same address only has its
// home changed; at another address it is another server.
func (d *Dispatcher) Add(name, addr, domain string, home, cold bool) *Server {
	if s := d.Find(name); s != nil && s.addr == addr {
		s.home = home
		return s
	}
	d.Remove(name)
	s := &Server{name: name, addr: addr, domain: domain, slots: d.options.Slots, ramp: d.options.Slots, shadowed: d.options.Hedge > 0, home: home}
	if cold {
		s.ramp, s.rampLeft = 1, rampStep
	}
	d.servers = append(d.servers, s)
	return s
}

// Remove forgets a server. Attempts in flight still end with Finish.
func (d *Dispatcher) Remove(name string) {
	kept := d.servers[:0:0]
	for _, s := range d.servers {
		if s.name != name {
			kept = append(kept, s)
		}
	}
	d.servers = kept
}

// Find returns the server of the name, or nil.
func (d *Dispatcher) Find(name string) *Server {
	for _, s := range d.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Servers returns the known servers. The slice is the dispatcher's own.
func (d *Dispatcher) Servers() []*Server { return d.servers }

// Leave takes in a server's own mark that it is leaving.
func (d *Dispatcher) Leave(name string) {
	if s := d.Find(name); s != nil {
		s.leaving = true
	}
}

// Told takes in what others say of a server: whether the platform's list has
// it as leaving, and whether another entry does.
func (d *Dispatcher) Told(name string, listed, hearsay bool) {
	if s := d.Find(name); s != nil {
		s.listed, s.hearsay = listed, hearsay
	}
}

// Finding is what a probe found.
type Finding struct {
	// OK says that the server answered well.
	OK bool
	// Leaving says that the answer was marked as a leaving server's.
	Leaving bool
	// Load is negative if none was told.
	Load int
}

// Probed takes in what a probe found. Only a probe clears a mark of leaving:
// calls are not sent to find out.
func (d *Dispatcher) Probed(now time.Time, name string, f Finding) {
	s := d.Find(name)
	if s == nil {
		return
	}
	if !f.OK {
		s.bad(now)
		d.keepFloor(now)
		return
	}
	s.heardAt = now
	s.leaving = f.Leaving
	if f.Load >= 0 {
		s.report(now, f.Load)
	}
	if s.sick() {
		// A probe proves that the server answers, not that calls succeed: it
		// is tried out now.
		s.ejected = now
	}
	d.keepFloor(now)
}

// keepFloor lets ejection count only while enough servers are left.
func (d *Dispatcher) keepFloor(now time.Time) {
	present, kept := 0, 0
	d.sick = 0
	for _, s := range d.servers {
		if s.sick() {
			d.sick++
		}
		if s.Leaving() {
			continue
		}
		present++
		if !s.Ejected(now) {
			kept++
		}
	}
	short := float64(kept) < keptPart*float64(present)
	for _, s := range d.servers {
		s.floored = short
	}
}
