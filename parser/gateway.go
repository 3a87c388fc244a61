package parser

import "time"

// gatewaySpec is the JSON form of Gateway.
type gatewaySpec struct {
	ResolveAddr          string        `json:"resolve"`
	ReadyAddr            string        `json:"ready"`
	ShutdownTimeout      time.Duration `json:"grace"`
	ProbeRate            float64       `json:"probes"`
	HedgeRatio           float64       `json:"hedge"`
	RetryRatio           float64       `json:"share"`
	RetryAllowance       float64       `json:"extra"`
	RetryWindow          time.Duration `json:"window"`
	UpstreamDrainTimeout time.Duration `json:"drain"`
	MemoryLimitMiB       int           `json:"memory"`
	Cores                float64       `json:"cores"`
	LinkMbps             float64       `json:"link"`
	Bootstrap            bool          `json:"first"`
	QuotaTolerance       float64       `json:"tolerance"`
	EvacuationTime       time.Duration `json:"evacuate"`
}

func (d *document) checkGateway(g *gatewaySpec) error {
	if g.ResolveAddr == "" && g.ReadyAddr == "" {
		return nil
	}
	return firstError(
		d.checkAddress("gateway.resolve", g.ResolveAddr),
		d.checkAddress("gateway.ready", g.ReadyAddr),
		checkRange(d, "gateway.grace", g.ShutdownTimeout, 500*time.Millisecond, 10*time.Minute),
		checkRange(d, "gateway.probes", g.ProbeRate, 0, 10000),
		checkRange(d, "gateway.hedge", g.HedgeRatio, 0, 0.5),
		checkRange(d, "gateway.share", g.RetryRatio, 0, 1),
		checkRange(d, "gateway.extra", g.RetryAllowance, 0, 1e6),
		checkRange(d, "gateway.window", g.RetryWindow, 100*time.Millisecond, time.Hour),
		checkRange(d, "gateway.drain", g.UpstreamDrainTimeout, 100*time.Millisecond, time.Hour),
		checkRange(d, "gateway.memory", g.MemoryLimitMiB, 0, 1<<20),
		checkRange(d, "gateway.cores", g.Cores, 0, 1024),
		checkRange(d, "gateway.link", g.LinkMbps, 0, 1e6),
		checkRange(d, "gateway.tolerance", g.QuotaTolerance, 0, 1e6),
		checkRange(d, "gateway.evacuate", g.EvacuationTime, 0, time.Hour),
	)
}

// Gateway holds the settings of an entry that runs on the users' platform.
type Gateway struct {
	// spec has passed all range checks if the gateway is enabled.
	spec gatewaySpec
}

// Gateway returns the settings for the users' platform. The gateway is enabled
// only if the addresses for resolver and readiness requests are set.
func (p *Process) Gateway() Gateway { return Gateway{spec: p.spec.Gateway} }

// Enabled reports whether the entry runs on the users' platform.
func (g Gateway) Enabled() bool { return g.spec.ResolveAddr != "" }

// ResolveAddr returns the listen address for requests that resolve entries.
func (g Gateway) ResolveAddr() string { return g.spec.ResolveAddr }

// ReadyAddr returns the listen address for the platform's readiness checks.
func (g Gateway) ReadyAddr() string { return g.spec.ReadyAddr }

// ShutdownTimeout returns how long a planned shutdown may take before the
// process is killed.
func (g Gateway) ShutdownTimeout() time.Duration { return g.spec.ShutdownTimeout }

// ProbeRate returns the budget of load probes per second to one upstream, over
// all entries.
func (g Gateway) ProbeRate() float64 { return g.spec.ProbeRate }

// HedgeRatio returns the maximum fraction of the idempotent requests that may be sent to a second
// upstream while the first one may still respond, 0 if none.
func (g Gateway) HedgeRatio() float64 { return g.spec.HedgeRatio }

// RetryBudget returns the retry budget over all entries: retries within window may
// amount to the given fraction of the requests, plus extra.
func (g Gateway) RetryBudget() (fraction, extra float64, window time.Duration) {
	return g.spec.RetryRatio, g.spec.RetryAllowance, g.spec.RetryWindow
}

// UpstreamDrainTimeout returns how long an upstream may still be sent requests
// after it is announced as draining.
func (g Gateway) UpstreamDrainTimeout() time.Duration { return g.spec.UpstreamDrainTimeout }

// Cores returns the processor limit of the process in cores, 0 if unspecified.
func (g Gateway) Cores() float64 { return g.spec.Cores }

// LinkMbps returns the bandwidth of the instance in Mbit/s, 0 if unspecified.
func (g Gateway) LinkMbps() float64 { return g.spec.LinkMbps }

// Bootstrap reports whether the entire deployment starts for the first time, so
// that there are no callers yet.
func (g Gateway) Bootstrap() bool { return g.spec.Bootstrap }

// QuotaTolerance returns the number of requests by which all entries together may exceed the quota of
// a customer in a few seconds, 0 if none.
func (g Gateway) QuotaTolerance() float64 { return g.spec.QuotaTolerance }

// EvacuationTime returns the time within which the evacuation of a failure domain is in force after
// the store has acknowledged it, 0 if there are no evacuations.
func (g Gateway) EvacuationTime() time.Duration { return g.spec.EvacuationTime }

// MemoryLimitMiB returns the memory limit of the process in MiB, 0 if unlimited.
func (g Gateway) MemoryLimitMiB() int { return g.spec.MemoryLimitMiB }
