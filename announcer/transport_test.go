package announcer

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/responder"
	"poplarwind/internal/signer"
)

// TestMalformedResponseOfPeer has a peer respond with a valid signature, and with heads that HTTP does
// not allow. They are no responses, and the next one is used.
func TestMalformedResponseOfPeer(t *testing.T) {
	secret := []byte("secret-of-the-tests")
	heads := []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\r\n"}
	next := 0
	peer := Member{Peers: responder.Start(t, func(req *fasthttp.Request) (string, bool) {
		head, body := heads[next], `"reply"`
		next++
		signature := signer.Sign(secret, []byte("answer"), req.Header.Peek(signer.NonceHeader), []byte(body))
		return fmt.Sprintf("%s%s: %s\r\nContent-Length: %d\r\n\r\n%s", head, signer.SignatureHeader, signature, len(body), body), false
	})}
	a := New(NewTable(time.Now(), Member{Name: "e1"}, time.Second), Options{Secret: secret, BytesPerSecond: 1 << 20, Log: slog.New(slog.DiscardHandler)})
	for i, head := range heads {
		var reply string
		err := a.Send(t.Context(), peer, "/peer/other", "message", &reply)
		if malformed := i < len(heads)-1; malformed && !errors.Is(err, errPeer) || !malformed && (err != nil || reply != "reply") {
			t.Errorf("%q: got: %q, %v want: an error for all but the last", head, reply, err)
		}
	}
}
