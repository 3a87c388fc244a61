package storer

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/responder"
)

// TestMalformedResponseOfPlatform has the platform respond with heads that HTTP does not allow. They
// are no object, and no acknowledgement of a write; those of a sound head are.
func TestMalformedResponseOfPlatform(t *testing.T) {
	for head, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n": nil,
		"HTTP/1.1 000 OK\r\n":             ErrUnavailable,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n": ErrUnavailable,
	} {
		t.Run(head, func(t *testing.T) {
			c := NewClient(responder.Start(t, func(*fasthttp.Request) (string, bool) {
				return head + "Content-Length: 2\r\n\r\n{}", false
			}), time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if o, err := c.Get(ctx, "/t/s"); !errors.Is(err, want) {
				t.Errorf("got: %+v, %v want: %v", o, err, want)
			}
			if r, err := c.Put(ctx, "/t/s", []byte("{}"), 0); !errors.Is(err, want) {
				t.Errorf("got: %+v, %v want: %v", r, err, want)
			}
		})
	}
}
