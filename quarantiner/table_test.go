package quarantiner

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
)

func process(i int) Process { return Process{Upstream: fmt.Sprint("u", i), StartedAt: int64(i)} }

// TestInnocentRequestNotInQuarantine checks that a request that was in flight at several
// upstreams as they crashed, but completed in between, is served, and that the crash of
// one process counts once.
func TestInnocentRequestNotInQuarantine(t *testing.T) {
	var table Table
	now, f := time.Now(), FingerprintOf([]byte("popular"))
	for range 5 {
		table.RecordCrash(now, f, process(1))
	}
	table.RecordCrash(now, f, process(2))
	if table.Quarantined(now, f) {
		t.Error("got: in quarantine after two crashes want: not")
	}
	if !table.RecordResponse(now.Add(time.Millisecond), f) {
		t.Error("got: response without effect want: crashes cleared")
	}
	now = now.Add(time.Second)
	table.RecordCrash(now, f, process(3))
	table.RecordCrash(now, f, process(4))
	if table.Quarantined(now, f) {
		t.Error("got: in quarantine after two crashes since a response want: not")
	}
	if n, quarantined := table.RecordCrash(now, f, process(5)); n != 3 || !quarantined || !table.Quarantined(now, f) {
		t.Errorf("got: %d crashes, quarantine %v want: 3, true", n, quarantined)
	}
	if table.Quarantined(now, FingerprintOf([]byte("other"))) {
		t.Error("got: another request in quarantine want: not")
	}
}

// TestQuarantineEnds checks that a request is let through some time after its last crash,
// and that one more crash then is enough.
func TestQuarantineEnds(t *testing.T) {
	var table Table
	now, f := time.Now(), FingerprintOf([]byte("r"))
	for i := range crashThreshold {
		table.RecordCrash(now, f, process(i))
	}
	now = now.Add(quarantineTime)
	if table.Quarantined(now, f) {
		t.Error("got: in quarantine want: let through")
	}
	if _, quarantined := table.RecordCrash(now, f, process(9)); !quarantined {
		t.Error("got: let through after another crash want: in quarantine")
	}
	table.Expire(now.Add(recordTTL + time.Second))
	if !table.Empty() {
		t.Error("got: records after they expired want: none")
	}
}

// TestTableBounded checks that requests in quarantine stay there while many others are
// known for a crash.
func TestTableBounded(t *testing.T) {
	var table Table
	now, f := time.Now(), FingerprintOf([]byte("r"))
	for i := range crashThreshold {
		table.RecordCrash(now, f, process(i))
	}
	for i := range maxRecords + 100 {
		table.RecordCrash(now.Add(time.Duration(i)), FingerprintOf(fmt.Append(nil, i)), process(i))
	}
	if n := len(table.Status(now)); n > maxRecords {
		t.Errorf("got: %d records want: at most %d", n, maxRecords)
	}
	if !table.Quarantined(now, f) {
		t.Error("got: quarantine lost want: kept")
	}
}

// TestMergeInAnyOrder checks that tables that get the same reports in any order, some of
// them several times, agree on what is in quarantine and have the same digest.
func TestMergeInAnyOrder(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		var tables [3]Table
		events := rapid.IntRange(1, 24).Draw(rt, "events")
		for i := range events {
			table := &tables[rapid.IntRange(0, 2).Draw(rt, "table")]
			at, f := now.Add(time.Duration(i)*time.Second), FingerprintOf([]byte{byte(rapid.IntRange(0, 2).Draw(rt, "request"))})
			if rapid.IntRange(0, 9).Draw(rt, "kind") == 0 {
				table.RecordResponse(at, f)
			} else {
				table.RecordCrash(at, f, process(rapid.IntRange(0, 5).Draw(rt, "process")))
			}
		}
		end := now.Add(time.Minute)
		// Three rounds in an order of its own for each table reach all of them.
		for range 3 {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(rt, "receivers") {
				for _, j := range rapid.Permutation([]int{0, 1, 2}).Draw(rt, "senders") {
					if _, err := tables[i].Merge(end, tables[j].Reports(end)); err != nil {
						rt.Fatal(err)
					}
				}
			}
		}
		for b := range byte(3) {
			f := FingerprintOf([]byte{b})
			if a, c := tables[0].Quarantined(end, f), tables[1].Quarantined(end, f); a != c || a != tables[2].Quarantined(end, f) {
				rt.Errorf("request %d: got: %v %v want: all tables equal", b, a, c)
			}
		}
		if tables[0].Digest() != tables[1].Digest() || tables[0].Digest() != tables[2].Digest() {
			rt.Error("got: digests that differ want: equal ones")
		}
	})
}

// TestInvalidReports checks that a message with an invalid report has no effect.
func TestInvalidReports(t *testing.T) {
	good := Report{Fingerprint: FingerprintOf([]byte("g")), Crashes: []CrashReport{{Process: process(1)}}}
	for name, bad := range map[string]Report{
		"no upstream":     {Crashes: []CrashReport{{}}},
		"negative age":    {Crashes: []CrashReport{{Process: process(1), Age: -1}}},
		"cleared in time": {ClearedAge: -1},
		"many crashes":    {Crashes: make([]CrashReport, maxCrashes+1)},
		"long name":       {Crashes: []CrashReport{{Process: Process{Upstream: string(make([]byte, maxName+1))}}}},
	} {
		var table Table
		if _, err := table.Merge(time.Now(), []Report{good, bad}); !errors.Is(err, errors.NotValid) || !table.Empty() {
			t.Errorf("%s: got: %v, empty %v want: NotValid, true", name, err, table.Empty())
		}
	}
	var table Table
	if _, err := table.Merge(time.Now(), make([]Report, maxReports+1)); !errors.Is(err, errors.NotValid) {
		t.Errorf("many reports: got: %v want: NotValid", err)
	}
}

// FuzzServe checks that no message of another entry ends the process or takes effect in
// part.
func FuzzServe(f *testing.F) {
	f.Add([]byte(`{"from":"a","digest":"1","reports":[{"fingerprint":"00112233445566778899aabbccddeeff","crashes":[{"upstream":"u","age":1}]}]}`))
	f.Add([]byte(`{"reports":[{"fingerprint":"0"}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		synctest.Test(t, func(t *testing.T) {
			q := New(Options{Table: NewTable(), Self: "s", Log: discard})
			reply, err := q.Serve(body)
			if err != nil {
				if !q.options.Table.Empty() {
					t.Error("got: records of a malformed message want: none")
				}
				return
			}
			if _, err := json.Marshal(reply); err != nil {
				t.Error(err)
			}
		})
	})
}
