package announcer

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"poplarwind/storer"
)

// pullSettings requests newer settings from a peer, at most once per
// pullInterval.
func (a *Announcer) pullSettings(ctx context.Context, p Member) {
	a.mu.Lock()
	if time.Since(a.lastPull) < pullInterval {
		a.mu.Unlock()
		return
	}
	a.lastPull = time.Now()
	a.mu.Unlock()
	q := PullRequest{WithInstances: a.options.Instances() == nil}
	for _, state := range a.options.Cache.Snapshot().States() {
		if state.Version() > 0 {
			q.Have = append(q.Have, storer.VersionRef{Path: state.Object().Path, Version: state.Version(), Era: state.Object().Era})
		}
	}
	var response PullResponse
	err := a.sendThrottled(ctx, p, pathPull, q, func(text []byte) error {
		err := json.Unmarshal(text, &response)
		if err != nil {
			a.rejected.Add(1)
		}
		return err
	})
	if err != nil {
		return
	}
	for _, o := range response.Objects {
		if a.options.Cache.Apply(o) {
			a.options.Log.Info("settings in force", "path", strings.TrimPrefix(o.Path, storer.Prefix), "version", o.Version, "from", p.Name)
		}
	}
	if len(response.Instances) > 0 && a.options.Instances() == nil {
		a.options.ApplyInstances(response.Instances)
	}
}

// newerSettings collects the accepted settings that are newer than those of the
// requester, up to maxObjects bytes. The requester pulls the rest later.
func (a *Announcer) newerSettings(q PullRequest) PullResponse {
	have := make(map[string]storer.Revision, len(q.Have))
	for _, ref := range q.Have {
		have[ref.Path] = ref.Revision()
	}
	var out PullResponse
	size := 0
	for _, state := range a.options.Cache.Snapshot().States() {
		o := state.Object()
		if o.Revision().Compare(have[o.Path]) <= 0 {
			continue
		}
		size += len(o.Data)
		if size > maxObjects && len(out.Objects) > 0 {
			break
		}
		out.Objects = append(out.Objects, o)
	}
	if q.WithInstances {
		out.Instances = a.options.Instances()
	}
	return out
}
