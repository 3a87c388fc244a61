package pooler

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
)

// TestAbortBeforeBody aborts an exchange whose response has been read in part, while no memory is left
// for the body. Receive must not wait for memory: the attempt that won waits for the end of this one.
func TestAbortBeforeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 64 << 10
		budget := bufferer.New(limit)
		other := budget.NewBody(bufferer.Responses, nil)
		if err := other.Reserve(limit - 1<<10); err != nil {
			t.Fatal(err)
		}
		client, server := net.Pipe()
		defer server.Close()
		go func() { _, _ = io.WriteString(server, okResponse) }()
		p := Pool{Dial: func(context.Context, string) (net.Conn, error) { return client, nil }, Budget: budget}
		c, err := p.Get(context.Background(), "a", 1, false)
		if err != nil {
			t.Fatal(err)
		}
		if !c.AwaitResponse(context.Background(), time.Now().Add(time.Second)) {
			t.Fatal("got: no response want: one")
		}
		c.Abort()
		start := time.Now()
		var resp fasthttp.Response
		err = c.Receive(&resp, false, 1<<10)
		if took := time.Since(start); err == nil || took > 0 {
			t.Errorf("got: %v after %v want: an error at once", err, took)
		}
		p.Discard(c)
		other.Release()
	})
}
