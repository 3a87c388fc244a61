package quarantiner

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"poplarwind/announcer"
	"poplarwind/internal/guarder"
	"poplarwind/internal/sleeper"
)

// Path is the path of messages between entries.
const Path = "/peer/crashes"

// Peers sends messages to other entries.
type Peers interface {
	// Send sends a message to a path of the member and decodes its response.
	Send(ctx context.Context, m announcer.Member, path string, message, response any) error
}

// Store keeps quarantines while no entry runs.
type Store interface {
	// Quarantines returns reports of all requests in quarantine, and the number of
	// objects that can't be decoded.
	Quarantines(ctx context.Context) (reports []Report, invalid int, err error)
	// PutQuarantine writes the report of a request in quarantine.
	PutQuarantine(ctx context.Context, r Report) error
}

const (
	// batchDelay delays reports so that crashes that are noticed together are sent in
	// one message.
	batchDelay = 5 * time.Millisecond
	// syncInterval is how often an entry compares its table with that of another one,
	// and loadInterval how often until it has a first copy. Together with the time for
	// which an entry that was cut off is excused, a few of them must suffice.
	syncInterval = time.Second
	loadInterval = 100 * time.Millisecond
	// remoteSyncs is the number of comparisons of which one is with an entry of another
	// failure domain, while nothing is known of any request.
	remoteSyncs = 16
	// messageTimeout bounds the wait for the reply of another entry, storeTimeout that
	// for a response of the store.
	messageTimeout = 300 * time.Millisecond
	storeTimeout   = 500 * time.Millisecond
	// loadSpread is the greatest time, chosen at random, for which an entry that has
	// started asks others for a first copy before it reads the store: many may have
	// started together. At the first start of the whole deployment, when there are no
	// callers, initialLoadTime comes before that, and the store is read rarely.
	loadSpread        = 100 * time.Millisecond
	initialLoadTime   = 4 * time.Second
	initialLoadSpread = 2 * time.Second
	// isolationTime is how long no other entry must have replied before an entry reads
	// the store instead, and how often it then does.
	isolationTime = 2 * time.Second
	// storeInterval is how often an entry checks for quarantines to write to the store.
	storeInterval = 500 * time.Millisecond
)

// Options configures a Quarantiner. All fields must be set.
type Options struct {
	Table *Table
	Peers Peers
	Store Store
	// Self is the name of this entry and Domain its failure domain.
	Self, Domain string
	// Live returns the live entries, including this one.
	Live func() []announcer.Member
	// Contacts returns the other entries that are known, live or not.
	Contacts func() []announcer.Member
	// Era returns the era of the store, 0 if it is unknown.
	Era func() uint64
	// Initial is set at the first start of the whole deployment.
	Initial bool
	Log     *slog.Logger
}

// Quarantiner keeps the tables of all entries equal.
type Quarantiner struct {
	options Options
	start   time.Time
	// loadDelay is how long after the start the store is read, if no other entry had a
	// copy.
	loadDelay time.Duration
	// loaded is set when the table includes a copy of what was known before the start.
	loaded atomic.Bool
	// heard is when another entry last replied, and read when the store was last read;
	// both are accessed only by synchronize.
	heard, read time.Time
	rounds      int
}

// New returns a Quarantiner.
func New(o Options) *Quarantiner {
	q := &Quarantiner{options: o, start: time.Now(), loadDelay: rand.N(loadSpread)}
	if o.Initial {
		q.loadDelay = initialLoadTime + rand.N(initialLoadSpread)
	}
	q.heard = q.start
	return q
}

// message is a message between entries, and the reply to it.
type message struct {
	From   string `json:"from"`
	Digest uint64 `json:"digest,string"`
	// Loaded is set if the sender has a copy of what was known before it started.
	Loaded  bool     `json:"loaded,omitempty"`
	Reports []Report `json:"reports,omitempty"`
}

// Run runs until ctx ends.
func (q *Quarantiner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range []func(context.Context) error{q.report, q.synchronize, q.persist} {
		group.Go(func() error { return f(ctx) })
	}
	return errors.Trace(group.Wait())
}

// report tells all other entries of changes that this entry noticed.
func (q *Quarantiner) report(ctx context.Context) error {
	for {
		select {
		case <-q.options.Table.changed:
		case <-ctx.Done():
			return nil
		}
		sleeper.Sleep(ctx, batchDelay)
		reports := q.options.Table.TakeUnreported(time.Now())
		if len(reports) == 0 {
			continue
		}
		body, err := announcer.Pack(q.message(reports))
		if err != nil {
			q.options.Log.Error("reports of crashes can't be encoded", "error", err.Error())
			continue
		}
		for _, m := range q.options.Live() {
			if m.Name != q.options.Self {
				go func() {
					defer guarder.Contain(q.options.Log, "report of crashes", nil)
					_, _ = q.send(ctx, m, body)
				}()
			}
		}
	}
}

func (q *Quarantiner) message(reports []Report) message {
	return message{From: q.options.Self, Digest: q.options.Table.Digest(), Loaded: q.loaded.Load(), Reports: reports}
}

// send sends a message and returns the reply.
func (q *Quarantiner) send(ctx context.Context, m announcer.Member, body any) (message, error) {
	limited, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var reply message
	err := q.options.Peers.Send(limited, m, Path, body, &reply)
	if err != nil {
		q.options.Log.Debug("reports of crashes not exchanged with peer", "to", m.Name, "error", err.Error())
	}
	return reply, err
}

// Serve handles a message of another entry and returns the reply: the reports of all
// requests if the sender's table is another one. A malformed message has no effect; the
// error then satisfies errors.Is(err, errors.NotValid).
func (q *Quarantiner) Serve(body []byte) (any, error) {
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, errors.WithType(err, errors.NotValid)
	}
	if err := q.merge(m.Reports, m.From); err != nil {
		return nil, errors.Trace(err)
	}
	reply := q.message(nil)
	if reply.Digest != m.Digest {
		reply.Reports = q.options.Table.Reports(time.Now())
	}
	return reply, nil
}

// merge merges reports and logs their effect.
func (q *Quarantiner) merge(reports []Report, from string) error {
	changes, err := q.options.Table.Merge(time.Now(), reports)
	if err != nil {
		return err
	}
	for _, c := range changes {
		logChange(q.options.Log, c, from)
	}
	return nil
}

// logChange logs a change of what is known of a request.
func logChange(log *slog.Logger, c Change, from string) {
	switch {
	case c.Quarantined:
		log.Warn("request in quarantine", "fingerprint", c.Fingerprint.String(), "crashes", c.Crashes, "from", from)
	case c.Lifted:
		log.Warn("request no longer in quarantine", "fingerprint", c.Fingerprint.String(), "from", from)
	default:
		log.Info("crashes during request known", "fingerprint", c.Fingerprint.String(), "crashes", c.Crashes, "from", from)
	}
}

// synchronize compares the table with that of another entry from time to time. An entry
// that has started asks for a first copy, and reads the store if no other entry has one.
// So does an entry that no other replies to: it may be cut off from them.
func (q *Quarantiner) synchronize(ctx context.Context) error {
	for ctx.Err() == nil {
		q.options.Table.Expire(time.Now())
		if m, ok := q.peer(); ok {
			q.exchange(ctx, m)
		}
		now := time.Now()
		due := !q.loaded.Load() && now.Sub(q.start) >= q.loadDelay
		isolated := len(q.options.Contacts()) > 0 && now.Sub(q.heard) >= isolationTime && q.loaded.Load()
		if (due || isolated && now.Sub(q.read) >= isolationTime) && q.readStore(ctx) {
			q.loaded.Store(true)
		}
		interval := syncInterval
		if !q.loaded.Load() {
			interval = loadInterval
		}
		sleeper.Sleep(ctx, interval/2+rand.N(interval))
	}
	return nil
}

// peer returns the entry to compare tables with: while nothing is known of any request
// mostly one of the same failure domain, since traffic between domains is expensive.
func (q *Quarantiner) peer() (announcer.Member, bool) {
	q.rounds++
	var all, local []announcer.Member
	for _, m := range q.options.Live() {
		if m.Name == q.options.Self {
			continue
		}
		all = append(all, m)
		if m.Domain == q.options.Domain {
			local = append(local, m)
		}
	}
	if len(all) == 0 {
		all = q.options.Contacts()
	}
	if len(local) > 0 && q.options.Table.Empty() && q.rounds%remoteSyncs != 0 {
		all = local
	}
	if len(all) == 0 {
		return announcer.Member{}, false
	}
	return all[rand.N(len(all))], true
}

// exchange compares the table with that of another entry and merges both.
func (q *Quarantiner) exchange(ctx context.Context, m announcer.Member) {
	reply, err := q.send(ctx, m, q.message(nil))
	if err != nil {
		return
	}
	q.heard = time.Now()
	if err := q.merge(reply.Reports, m.Name); err != nil {
		q.options.Log.Warn("reports of crashes can't be used", "from", m.Name, "error", err.Error())
		return
	}
	if reply.Loaded {
		q.loaded.Store(true)
	}
	if q.options.Table.Digest() != reply.Digest {
		// A failure is logged; the next comparison sends the reports again.
		_, _ = q.send(ctx, m, q.message(q.options.Table.Reports(time.Now())))
	}
}

// readStore merges the quarantines that the store has and reports whether it could be
// read.
func (q *Quarantiner) readStore(ctx context.Context) bool {
	q.read = time.Now()
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	reports, invalid, err := q.options.Store.Quarantines(limited)
	if invalid > 0 {
		q.options.Log.Warn("quarantines in the store can't be decoded and are ignored", "objects", invalid)
	}
	if err == nil {
		err = q.merge(reports, "store")
	}
	if err != nil {
		q.options.Log.Warn("reading quarantines failed", "error", err.Error())
	}
	return err == nil
}

// persist writes quarantines to the store: those that this entry's crashes completed at
// once, and from time to time one of the entries the others that the store does not have,
// such as after it was restored from a backup.
func (q *Quarantiner) persist(ctx context.Context) error {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, storeInterval)
		all := rand.N(max(1, len(q.options.Live()))) == 0
		era := q.options.Era()
		for _, r := range q.options.Table.Unstored(time.Now(), era, all) {
			limited, cancel := context.WithTimeout(ctx, storeTimeout)
			err := q.options.Store.PutQuarantine(limited, r)
			cancel()
			if err != nil {
				q.options.Log.Warn("writing a quarantine failed", "fingerprint", r.Fingerprint.String(), "error", err.Error())
				break
			}
			q.options.Table.SetStored(r.Fingerprint, era)
		}
	}
	return nil
}
