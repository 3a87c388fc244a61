package tracker

import "time"

// logIgnored logs that what was read is older than the replica, when this begins.
func (t *Tracker) logIgnored(d Delta) {
	position := t.state.Position(time.Now(), d.Kind)
	older := position.newer(d.Era, d.AsOf)
	if t.ignored[d.Kind].Swap(older) != older && older {
		t.log.Warn("objects read from the store are older than the replica and are ignored", "kind", d.Kind.String(), "era", d.Era, "asof", d.AsOf, "replica_era", position.Era, "replica_asof", position.AsOf, "snapshot", d.Snapshot)
	}
}

// maxLoggedChanges is the number of changes of one delta that are logged one by
// one. The first replica alone may have hundreds.
const maxLoggedChanges = 32

func (t *Tracker) logChanges(d Delta, changes []Change, from string) {
	if len(changes) > maxLoggedChanges {
		t.log.Info("objects updated", "kind", d.Kind.String(), "objects", len(changes), "snapshot", d.Snapshot, "asof", d.AsOf, "from", from)
		return
	}
	for _, c := range changes {
		t.logChange(d.Kind, c, d.AsOf, from)
	}
}

func (t *Tracker) logChange(k Kind, c Change, asOf uint64, from string) {
	attrs := []any{"kind", k.String(), "name", c.Name, "rev", c.Revision, "asof", asOf, "from", from}
	switch {
	case c.Removed:
		t.log.Info("object removed", attrs...)
	case k == Evacuations:
		t.log.Info("failure domain evacuated", attrs...)
	case c.Config == nil && c.Upstream == nil:
		t.log.Warn("object can't be decoded and is ignored", attrs...)
	case c.Upstream != nil:
		t.log.Info("upstream updated", append(attrs, "service", c.Upstream.Service, "addr", c.Upstream.Addr, "leaving", c.Upstream.Draining)...)
	}
}
