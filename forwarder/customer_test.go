package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/apportioner"
	"poplarwind/pipeliner"
	"poplarwind/router"
)

const (
	testCustomer = "acme"
	testKey      = "open-sesame"
)

// newCustomerTable returns the table of newTable with a route below /any/ that needs no key, and with
// customers.
func newCustomerTable(t testing.TB, version int64, customers ...router.Customer) *router.Table {
	s := newTable(t).Spec()
	s.Version, s.Customers = version, customers
	anonymous := s.Routes[0]
	anonymous.Name, anonymous.Prefix, anonymous.Anonymous = "any", "/any/", true
	s.Routes = append(s.Routes, anonymous)
	table, err := router.NewTable(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// newTestCustomer returns the customer of the tests with a quota, and another one.
func newTestCustomer(keys ...string) []router.Customer {
	c := router.Customer{Name: testCustomer, Rate: 5, Burst: 5}
	for _, k := range keys {
		c.Keys = append(c.Keys, router.DigestOf([]byte(k)))
	}
	return []router.Customer{c, {Name: "other", Keys: []router.Digest{router.DigestOf([]byte("other-key"))}}}
}

// rawConn is a connection of a caller to an entry.
type rawConn struct {
	t testing.TB
	c net.Conn
	r *bufio.Reader
}

func dialRaw(t testing.TB, f *Forwarder) *rawConn {
	s := pipeliner.New(pipeliner.Options{Handler: f, MaxHeader: 8 << 10, MaxBody: 1 << 20, MaxConns: 100, IdleTimeout: func() time.Duration { return time.Minute }, Log: f.options.Log})
	caller, entry := net.Pipe()
	go s.ServeConn(entry)
	return &rawConn{t: t, c: caller, r: bufio.NewReader(caller)}
}

// exchange writes a text and reads n responses, whose status codes it returns.
func (c *rawConn) exchange(text string, n int) []int {
	go func() { _, _ = c.c.Write([]byte(text)) }()
	var out []int
	for range n {
		var resp fasthttp.Response
		if err := resp.Read(c.r); err != nil {
			c.t.Errorf("got: %v want: a response", err)
			break
		}
		out = append(out, resp.StatusCode())
	}
	return out
}

// endTest waits for outstanding probes, which may still open connections, and closes the testbed.
func (tb *testbed) endTest() {
	time.Sleep(5 * time.Second)
	tb.close()
	time.Sleep(2 * time.Minute)
}

// customerForms are requests in which callers state a key or a customer. HEAD stands for the request
// line and the headers that every request needs.
var customerForms = []struct {
	name, text string
	status     int
	// customer is what an upstream is to be told.
	customer string
}{
	{"no key", "HEAD /read/1\r\n", 401, ""},
	{"unknown key", "HEAD /read/1Pass: shut-sesame\r\n\r\n", 401, ""},
	{"empty key", "HEAD /read/1Pass:\r\n\r\n", 401, ""},
	{"key", "HEAD /read/1Pass: open-sesame\r\n\r\n", 200, testCustomer},
	{"key in capitals", "HEAD /read/1PASS: open-sesame\r\n\r\n", 200, testCustomer},
	{"key in lower case", "HEAD /read/1pass: open-sesame\r\n\r\n", 200, testCustomer},
	{"key twice", "HEAD /read/1Pass: open-sesame\r\nPass: open-sesame\r\n\r\n", 401, ""},
	{"two keys in two spellings", "HEAD /read/1pass: shut-sesame\r\nPASS: open-sesame\r\n\r\n", 401, ""},
	{"key of the connection", "HEAD /read/1Connection: Pass\r\nPass: open-sesame\r\n\r\n", 200, testCustomer},
	{"other customer stated", "HEAD /read/1Customer: other\r\nPass: open-sesame\r\n\r\n", 200, testCustomer},
	{"other customer in other spellings", "HEAD /read/1customer: other\r\nCUSTOMER: other\r\nPass: open-sesame\r\n\r\n", 200, testCustomer},
	{"other customer of the connection", "HEAD /read/1Connection: customer\r\nCustomer: other\r\nPass: open-sesame\r\n\r\n", 200, testCustomer},
	{"key and other customer in a trailer", "HEAD /order/1Pass: open-sesame\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nCustomer: other\r\ncustomer: other\r\nPass: open-sesame\r\n\r\n", 200, testCustomer},
	{"announced trailer", "HEAD /order/1Pass: open-sesame\r\nTrailer: Customer, pass\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nCUSTOMER: other\r\npass: other-key\r\n\r\n", 200, testCustomer},
	{"key in a trailer alone", "HEAD /order/1Trailer: Pass\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nPass: open-sesame\r\n\r\n", 401, ""},
	{"anonymous without a key", "HEAD /any/1Customer: other\r\n\r\n", 200, ""},
	{"anonymous with an unknown key", "HEAD /any/1Customer: other\r\nPass: shut-sesame\r\n\r\n", 200, ""},
	{"anonymous with a key twice", "HEAD /any/1Pass: open-sesame\r\npass: open-sesame\r\n\r\n", 200, ""},
	{"anonymous with a key", "HEAD /any/1customer: other\r\nPass: open-sesame\r\n\r\n", 200, testCustomer},
	{"anonymous with a key in a trailer", "HEAD /any/1Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nPass: open-sesame\r\nCustomer: other\r\n\r\n", 200, ""},
}

// formText returns the text of a form with an ID.
func formText(text, id string) string {
	rest := strings.TrimPrefix(text, "HEAD ")
	path, method := "/read/1", "GET"
	for _, p := range []string{"/order/1", "/any/1"} {
		if strings.HasPrefix(rest, p) {
			path = p
		}
	}
	if strings.Contains(text, "chunked") {
		method = "POST"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nWait: 1500ms\r\n%s", method, path, id, strings.TrimPrefix(rest, path))
}

// checkCustomerForm checks the status of a form and what an upstream got.
func checkCustomerForm(t *testing.T, tb *testbed, i int, id string, status int) {
	t.Helper()
	form := customerForms[i]
	if status != form.status {
		t.Errorf("%s: got: %d want: %d", form.name, status, form.status)
	}
	tb.mu.Lock()
	header, reached := tb.headers[id]
	tb.mu.Unlock()
	if reached != (form.status == 200) {
		t.Errorf("%s: got: reached an upstream: %v want: %v", form.name, reached, form.status == 200)
	}
	if !reached {
		return
	}
	lower := strings.ToLower(header)
	if strings.Contains(lower, "sesame") || strings.Contains(lower, "other-key") || strings.Contains(lower, "\npass:") {
		t.Errorf("%s: got: %q want: no key", form.name, header)
	}
	want := 1
	if form.customer == "" {
		want = 0
	}
	if n := strings.Count(lower, "\ncustomer:"); n != want || want == 1 && !strings.Contains(header, "\nCustomer: "+form.customer+"\r\n") {
		t.Errorf("%s: got: %q want: customer %q and no other", form.name, header, form.customer)
	}
}

// TestCustomerHeaders sends keys and names of customers in many forms, each on a connection of its own,
// all in one pipeline, and through an entry that is cut off. A request without one known key must get
// 401 and reach no upstream; upstreams must get the name of the customer that has the key and never a
// key, whatever the caller sent.
func TestCustomerHeaders(t *testing.T) {
	table := newCustomerTable(t, 2, newTestCustomer(testKey)...)
	t.Run("single", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tb := &testbed{runs: map[string]int{}, headers: map[string]string{}}
			f := tb.newEntry(t, 3)
			f.Configure(table)
			for i, form := range customerForms {
				id := fmt.Sprint("r", i)
				c := dialRaw(t, f)
				checkCustomerForm(t, tb, i, id, c.exchange(formText(form.text, id), 1)[0])
				_ = c.c.Close()
			}
			tb.endTest()
		})
	})
	t.Run("pipelined", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tb := &testbed{runs: map[string]int{}, headers: map[string]string{}}
			f := tb.newEntry(t, 3)
			f.Configure(table)
			var text strings.Builder
			for i, form := range customerForms {
				text.WriteString(strings.Replace(formText(form.text, fmt.Sprint("r", i)), "Connection: Pass", "Connection: keep-alive, Pass", 1))
			}
			c := dialRaw(t, f)
			for i, status := range c.exchange(text.String(), len(customerForms)) {
				checkCustomerForm(t, tb, i, fmt.Sprint("r", i), status)
			}
			_ = c.c.Close()
			tb.endTest()
		})
	})
	t.Run("relayed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newRelayPair(t)
			p.tb.headers = map[string]string{}
			p.cut.Configure(table)
			p.far.Configure(table)
			for i, form := range customerForms {
				id := fmt.Sprint("r", i)
				c := dialRaw(t, p.cut)
				checkCustomerForm(t, p.tb, i, id, c.exchange(formText(form.text, id), 1)[0])
				_ = c.c.Close()
			}
			p.tb.endTest()
		})
	})
}

// TestHeadersWithoutCustomers sends the headers of customers to an entry whose configuration has none,
// and through one that is cut off: they are the upstreams' own headers then and must be passed on.
func TestHeadersWithoutCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newRelayPair(t)
		p.tb.headers = map[string]string{}
		for id, f := range map[string]*Forwarder{"direct": p.far, "relayed": p.cut} {
			c := dialRaw(t, f)
			text := fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: h\r\nId: %s\r\nWait: 1500ms\r\nPass: a\r\nPass: b\r\nCustomer: c\r\n\r\n", id)
			if status := c.exchange(text, 1)[0]; status != fasthttp.StatusOK {
				t.Errorf("%s: got: %d want: 200", id, status)
			}
			p.tb.mu.Lock()
			header := p.tb.headers[id]
			p.tb.mu.Unlock()
			if !strings.Contains(header, "Pass: a\r\nPass: b\r\nCustomer: c\r\n") {
				t.Errorf("%s: got: %q want: both keys and the customer as sent", id, header)
			}
			_ = c.c.Close()
		}
		p.tb.endTest()
	})
}

// TestWithdrawnKey withdraws a key while a caller that uses it is connected, and gives it to another
// customer afterwards. The next requests of the connection must be judged by the configuration in
// force: a connection must not outlive its key.
func TestWithdrawnKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}, headers: map[string]string{}}
		f := tb.newEntry(t, 3)
		c := dialRaw(t, f)
		request := func(id string) int {
			return c.exchange(formText("HEAD /read/1Pass: open-sesame\r\n\r\n", id), 1)[0]
		}
		f.Configure(newCustomerTable(t, 2, newTestCustomer(testKey, "second")...))
		if got := request("before"); got != 200 {
			t.Errorf("known key: got: %d want: 200", got)
		}
		f.Configure(newCustomerTable(t, 3, newTestCustomer("second")...))
		if got := request("withdrawn"); got != 401 {
			t.Errorf("withdrawn key: got: %d want: 401", got)
		}
		// A configuration of before must not bring the key back.
		f.Configure(newCustomerTable(t, 2, newTestCustomer(testKey)...))
		if got := request("older"); got != 401 {
			t.Errorf("older configuration: got: %d want: 401", got)
		}
		f.Configure(newCustomerTable(t, 4, router.Customer{Name: "heir", Keys: []router.Digest{router.DigestOf([]byte(testKey))}}))
		if got := request("given"); got != 200 || !strings.Contains(tb.headers["given"], "Customer: heir\r\n") {
			t.Errorf("key of another customer: got: %d, %q want: 200 and its name", got, tb.headers["given"])
		}
		_ = c.c.Close()
		tb.endTest()
	})
}

// TestUnknownKeyRefreshes sends an unknown key to an entry that lags behind the store: it must read
// the configuration before it rejects a customer's new key. A request without a key must not make it
// read the store, since no configuration knows its customer.
func TestUnknownKeyRefreshes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}}
		f := tb.newEntry(t, 3)
		f.Configure(newCustomerTable(t, 2, newTestCustomer()...))
		reads := 0
		f.options.Refresh = func(context.Context) {
			reads++
			f.Configure(newCustomerTable(t, 3, newTestCustomer(testKey)...))
		}
		c := dialRaw(t, f)
		if got := c.exchange(formText("HEAD /read/1\r\n", "none"), 1)[0]; got != 401 || reads != 0 {
			t.Errorf("no key: got: %d after %d reads want: 401 without a read", got, reads)
		}
		if got := c.exchange(formText("HEAD /read/1Pass: open-sesame\r\n\r\n", "new"), 1)[0]; got != 200 || reads != 1 {
			t.Errorf("new key: got: %d after %d reads want: 200 after one", got, reads)
		}
		_ = c.c.Close()
		tb.endTest()
	})
}

// TestNoConfigurationNoRejection sends a request to an entry without a configuration: it can't judge
// keys and must not state that one is unknown.
func TestNoConfigurationNoRejection(t *testing.T) {
	f := New(Options{Dialect: testDialect{}})
	if got := send(f, "/read/1", "r").StatusCode(); got != fasthttp.StatusServiceUnavailable {
		t.Errorf("got: %d want: 503", got)
	}
}

// sendKey sends a request with the key of the test customer in memory.
func sendKey(f *Forwarder, path, id string) *fasthttp.Response {
	return sendWithKey(f, path, id, testKey)
}

// sendWithKey sends one request with a key, without one if it is empty, and returns its response.
func sendWithKey(f *Forwarder, path, id, key string) *fasthttp.Response {
	var req fasthttp.Request
	req.SetRequestURI(path)
	req.Header.SetHost("h")
	req.Header.Set("Id", id)
	req.Header.Set("Wait", "1500ms")
	if key != "" {
		req.Header.Set("Pass", key)
	}
	c := pipeliner.Call{Request: &req, Response: fasthttp.AcquireResponse(), ArrivedAt: time.Now()}
	f.Handle(context.Background(), &c)
	return c.Response
}

// TestCustomerRank checks that the rank of a customer replaces that of the route, and that one without
// a rank leaves it: the queue would else serve customers in the wrong order. The record of a request
// without a customer must state no time left, since it never had a deadline.
func TestCustomerRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}}
		f := tb.newEntry(t, 3)
		var last *Record
		f.options.OnComplete = func(r *Record) { last = r }
		rank := 0
		customers := newTestCustomer(testKey)
		f.Configure(newCustomerTable(t, 2, customers...))
		sendKey(f, "/read/1", "a")
		if last.Rank != 1 || last.Customer != testCustomer {
			t.Errorf("without a rank: got: %d of %q want: 1, that of the route", last.Rank, last.Customer)
		}
		customers[0].Rank = &rank
		f.Configure(newCustomerTable(t, 3, customers...))
		sendKey(f, "/read/1", "b")
		if last.Rank != 0 {
			t.Errorf("with rank 0: got: %d want: 0", last.Rank)
		}
		x := &exchange{route: f.Table().Find("h", "/read/1"), customer: &customers[0], serviceTime: f.service("s").serviceTime("read")}
		if got := x.queuePriority().Rank; got != 0 {
			t.Errorf("queue: got: rank %d want: 0", got)
		}
		send(f, "/read/1", "c")
		if last.Status != fasthttp.StatusUnauthorized || last.TimeLeft != 0 || last.Customer != "" {
			t.Errorf("no key: got: %d, %v left, customer %q want: 401, none, none", last.Status, last.TimeLeft, last.Customer)
		}
		tb.endTest()
	})
}

// scriptedQuota admits a number of requests and counts what it is asked.
type scriptedQuota struct {
	left, asked, returned int
	// late is set if admitted requests are late.
	late bool
}

func (q *scriptedQuota) Send(time.Time, string, time.Duration) apportioner.Decision {
	return apportioner.Decision{Admitted: !q.late, RetryAfter: 300 * time.Millisecond}
}

func (q *scriptedQuota) Admit(time.Time, string) apportioner.Decision {
	q.asked++
	if q.left == 0 {
		return apportioner.Decision{RetryAfter: 700 * time.Millisecond}
	}
	q.left--
	return apportioner.Decision{Admitted: true}
}

func (q *scriptedQuota) Preview(time.Time, string) (apportioner.Decision, bool) {
	return apportioner.Decision{Admitted: q.left > 0}, true
}

func (q *scriptedQuota) Return(time.Time, string) {
	q.returned++
	q.left++
}

// TestQuota checks when a request is counted. One over the quota must get 429 with the time to wait and
// reach no upstream; one that no upstream got must be returned, else a service without upstreams would
// use up quotas; a retry must not be counted again; customers without a quota must not be counted.
func TestQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}}
		f := tb.newEntry(t, 3)
		q := &scriptedQuota{left: 1}
		f.options.Quota = q
		f.Configure(newCustomerTable(t, 2, newTestCustomer(testKey)...))
		tb.plan = []fault{failed}
		if got := sendKey(f, "/read/1", "a").StatusCode(); got != 200 || tb.runs["a"] != 2 || q.asked != 1 || q.returned != 0 {
			t.Errorf("retried: got: %d after %d runs, %d counted, %d returned want: 200, 2, 1, 0", got, tb.runs["a"], q.asked, q.returned)
		}
		resp := sendKey(f, "/order/1", "b")
		if got := resp.StatusCode(); got != fasthttp.StatusTooManyRequests || string(resp.Header.Peek("Retry-After")) != "0.700" || tb.runs["b"] != 0 {
			t.Errorf("over quota: got: %d, Retry-After %q, %d runs want: 429, 0.700, 0", got, resp.Header.Peek("Retry-After"), tb.runs["b"])
		}
		if q.returned != 0 {
			t.Errorf("over quota: got: %d returned want: 0", q.returned)
		}
		asked := q.asked
		if got := send(f, "/any/1", "c").StatusCode(); got != 200 || q.asked != asked {
			t.Errorf("anonymous: got: %d, %d counted want: 200, 0", got, q.asked-asked)
		}
		q.left, q.late = 1, true
		resp = sendKey(f, "/order/1", "late")
		if got := resp.StatusCode(); got != fasthttp.StatusTooManyRequests || string(resp.Header.Peek("Retry-After")) != "0.300" || tb.runs["late"] != 0 || q.returned != 0 {
			t.Errorf("late: got: %d, Retry-After %q, %d runs, %d returned want: 429, 0.300, 0, 0", got, resp.Header.Peek("Retry-After"), tb.runs["late"], q.returned)
		}
		q.late = false
		for i := range 3 {
			f.RemoveUpstream(fmt.Sprint("u", i))
		}
		q.left = 1
		if got := sendKey(f, "/read/1", "d").StatusCode(); got != fasthttp.StatusServiceUnavailable || q.returned != 1 {
			t.Errorf("no upstream: got: %d, %d returned want: 503, 1", got, q.returned)
		}
		tb.endTest()
	})
}

// TestRelayedRequestCountsOnce has an entry that is cut off relay requests: the entry that serves them
// must count them and the one that relays must not, and its 429 must reach the caller with the time to
// wait instead of a further try elsewhere.
func TestRelayedRequestCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newRelayPair(t)
		table := newCustomerTable(t, 2, newTestCustomer(testKey)...)
		p.cut.Configure(table)
		p.far.Configure(table)
		near, far := &scriptedQuota{}, &scriptedQuota{left: 1}
		p.cut.options.Quota, p.far.options.Quota = near, far
		p.cut.options.Relays = func(string) []string { return []string{"far", "far", "far"} }
		if got := sendKey(p.cut, "/read/1", "a").StatusCode(); got != 200 {
			t.Errorf("within quota: got: %d want: 200", got)
		}
		resp := sendKey(p.cut, "/read/1", "b")
		if got := resp.StatusCode(); got != fasthttp.StatusTooManyRequests || string(resp.Header.Peek("Retry-After")) != "0.700" {
			t.Errorf("over quota: got: %d, Retry-After %q want: 429, 0.700", got, resp.Header.Peek("Retry-After"))
		}
		if near.asked != 0 || far.asked != 2 {
			t.Errorf("got: %d counted by the entry that relays, %d by the one that serves want: 0, 2", near.asked, far.asked)
		}
		p.tb.endTest()
	})
}
