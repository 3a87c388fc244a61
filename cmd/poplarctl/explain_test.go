package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/responder"
	"poplarwind/router"
)

// TestExplainSendsNoKey explains a request with a key: the entry must get the digest only, since addresses
// are logged.
func TestExplainSendsNoKey(t *testing.T) {
	asked := make(chan string, 1)
	addr := responder.Start(t, func(req *fasthttp.Request) (string, bool) {
		asked <- req.String()
		body := `{"entry":"e1","domain":"a","outcome":"rejected","status":404,"cause":"no route matches"}`
		return "HTTP/1.1 200 OK\r\nContent-Length: 88\r\n\r\n" + body, false
	})
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte("open-sesame\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	c := &tool{out: &out, query: explainQuery{entry: addr, host: "h", path: "/read/1", keyFile: file}}
	if err := c.explain(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	digest, _ := router.DigestOf([]byte("open-sesame")).MarshalText()
	if got := <-asked; strings.Contains(got, "sesame") || !strings.Contains(got, "key_digest="+string(digest)) {
		t.Errorf("got: %q want: the digest %s only", got, digest)
	}
	if want := "outcome  rejected with 404: no route matches\n"; !strings.Contains(out.String(), want) {
		t.Errorf("got: %q want: %q", out.String(), want)
	}
	c.query.keyDigest = string(digest)
	if err := c.explain(t.Context(), nil); !errors.Is(err, errUsage) {
		t.Errorf("got: %v want: %v, as the key is given twice", err, errUsage)
	}
}
