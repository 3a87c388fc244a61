package relayer

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

func FuzzDeadline(f *testing.F) {
	for _, s := range []string{"250ms", "1h", "-1s", "0s", "250", "", "9999999999999h", "1e9s"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, v []byte) {
		d, err := ParseDeadline(v)
		if err == nil && (d <= 0 || d > maxDeadline) {
			t.Fatalf("%q: got: %v want: above 0 and at most %v", v, d, maxDeadline)
		}
		if err != nil && !errors.Is(err, ErrDeadline) {
			t.Fatalf("%q: got: %v want: %v", v, err, ErrDeadline)
		}
	})
}

func FuzzKey(f *testing.F) {
	for _, s := range []string{"k", "", "a b", "\x00", "0123456789"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, v []byte) {
		k, err := ParseKey(v)
		if err == nil && (k == "" || len(k) > maxKeyBytes || k != string(v)) {
			t.Fatalf("%q: got: %q", v, k)
		}
		if err != nil && !errors.Is(err, ErrKey) {
			t.Fatalf("%q: got: %v want: %v", v, err, ErrKey)
		}
	})
}

func TestPrepareRequest(t *testing.T) {
	var src, dst fasthttp.Request
	for k, v := range map[string]string{
		"Connection": "keep-alive, X-Hop", "X-Hop": "1", "Te": "trailers", "Upgrade": "h2c",
		"Proxy-Authorization": "secret", "X-Kept": "yes", HeaderRan: "yes", HeaderDeadline: "1h",
	} {
		src.Header.Set(k, v)
	}
	src.SetRequestURI("/t/s/%2e%2e/a?b=c")
	prepareRequest(&dst, &src, "server", 250*time.Millisecond)
	for _, k := range []string{"X-Hop", "Te", "Upgrade", "Proxy-Authorization", HeaderRan} {
		if v := dst.Header.Peek(k); len(v) > 0 {
			t.Errorf("%s: got: %q want: none", k, v)
		}
	}
	got := []string{string(dst.Header.Peek("X-Kept")), string(dst.Header.Peek(HeaderDeadline)), string(dst.Header.RequestURI())}
	want := []string{"yes", "250ms", "/t/s/%2e%2e/a?b=c"}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got: %q want: %q", got[i], want[i])
		}
	}
}
