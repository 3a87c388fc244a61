package faker

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestOutcomeOfAttempts combines the outcome of an attempt with those before. A call
// counts as not run after an attempt that may have run only if an entry says so of a
// call with a key: a connection that is refused says nothing about the attempts before.
func TestOutcomeOfAttempts(t *testing.T) {
	refused := Outcome{Ran: "no", Err: errors.New("connection refused")}
	rejected := Outcome{Ran: "no", Status: 503}
	for _, tc := range []struct {
		name       string
		mayHaveRun bool
		last       Outcome
		key        string
		want       string
	}{
		{"first refused", false, refused, "", "no"},
		{"first rejected", false, rejected, "k", "no"},
		{"lost, refused", true, refused, "k", "unknown"},
		{"lost, rejected with a key", true, rejected, "k", "no"},
		{"lost, rejected without a key", true, rejected, "", "unknown"},
		{"lost, answered", true, Outcome{Ran: "yes", Status: 200}, "", "yes"},
		{"lost, lost", true, Outcome{Ran: "unknown"}, "k", "unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := combine(tc.mayHaveRun, tc.last, tc.key).Ran; got != tc.want {
				t.Errorf("got: %s want: %s", got, tc.want)
			}
		})
	}
}

// TestNoEntryAfterLostResponse loses the response of the first attempt, after which no
// entry resolves the service.
func TestNoEntryAfterLostResponse(t *testing.T) {
	c := &Caller{MaxAttempts: 2, cached: map[string]cachedEntries{"/t/s": {entries: []string{silentEntry(t)}, expires: time.Now().Add(time.Minute)}}}
	r := Request{Method: "GET", URI: "/t/s/x", Service: "/t/s", ID: "r", Key: "k", Idempotent: true, Deadline: 2 * time.Second}
	if got := c.Do(r).Ran; got != "unknown" {
		t.Errorf("got: %s want: unknown", got)
	}
}

// silentEntry returns the address of an entry that reads one call of each connection
// and closes it without a response.
func silentEntry(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}
