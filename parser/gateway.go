package parser

import "time"

// gatewaySpec is the settings of an entry that runs on the users' platform.
type gatewaySpec struct {
	Resolve string        `json:"resolve"`
	Ready   string        `json:"ready"`
	Grace   time.Duration `json:"grace"`
	Probes  float64       `json:"probes"`
	Share   float64       `json:"share"`
	Extra   float64       `json:"extra"`
	Window  time.Duration `json:"window"`
	Drain   time.Duration `json:"drain"`
	Memory  int           `json:"memory"`
	Cores   float64       `json:"cores"`
	Link    float64       `json:"link"`
	First   bool          `json:"first"`
}

func (d *document) checkGateway(g *gatewaySpec) error {
	if g.Resolve == "" && g.Ready == "" {
		return nil
	}
	return firstOf(
		d.checkAddress("gateway.resolve", g.Resolve),
		d.checkAddress("gateway.ready", g.Ready),
		check(d, "gateway.grace", g.Grace, 500*time.Millisecond, 10*time.Minute),
		check(d, "gateway.probes", g.Probes, 0, 10000),
		check(d, "gateway.share", g.Share, 0, 1),
		check(d, "gateway.extra", g.Extra, 0, 1e6),
		check(d, "gateway.window", g.Window, 100*time.Millisecond, time.Hour),
		check(d, "gateway.drain", g.Drain, 100*time.Millisecond, time.Hour),
		check(d, "gateway.memory", g.Memory, 0, 1<<20),
		check(d, "gateway.cores", g.Cores, 0, 1024),
		check(d, "gateway.link", g.Link, 0, 1e6),
	)
}

// Gateway is the settings of an entry that runs on the users' platform.
type Gateway struct {
	// spec has every range checked.
	spec gatewaySpec
}

// Gateway returns the settings for the users' platform. They are off unless
// addresses for the platform's own calls are set.
func (p *Process) Gateway() Gateway { return Gateway{spec: p.spec.Gateway} }

// On reports whether the entry runs on the users' platform.
func (g Gateway) On() bool { return g.spec.Resolve != "" }

// Resolve returns the address at which callers ask for entries.
func (g Gateway) Resolve() string { return g.spec.Resolve }

// Ready returns the address at which the platform asks whether the entry is
// ready.
func (g Gateway) Ready() string { return g.spec.Ready }

// Grace returns how long a planned stop may take before the process is killed.
func (g Gateway) Grace() time.Duration { return g.spec.Grace }

// Probes returns how often one upstream may be asked for its load, a second
// and by all entries.
func (g Gateway) Probes() float64 { return g.spec.Probes }

// Retries returns the bounds on requests that are sent again, over all
// entries: a share of the requests in a window, and how many beside that.
func (g Gateway) Retries() (share, extra float64, window time.Duration) {
	return g.spec.Share, g.spec.Extra, g.spec.Window
}

// Drain returns how long after its notice an upstream may still be sent
// requests.
func (g Gateway) Drain() time.Duration { return g.spec.Drain }

// Cores returns how much of a processor the process may use, in cores, 0 if
// untold.
func (g Gateway) Cores() float64 { return g.spec.Cores }

// Link returns the bandwidth of the instance in Mbit/s, 0 if untold.
func (g Gateway) Link() float64 { return g.spec.Link }

// First reports whether the whole deployment starts for the first time, so that
// nobody calls yet.
func (g Gateway) First() bool { return g.spec.First }

// Memory returns the bound on the process's memory in MiB, 0 for none.
func (g Gateway) Memory() int { return g.spec.Memory }
