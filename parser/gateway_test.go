package parser

import (
	"errors"
	"strings"
	"testing"
)

// settings has the fields that a process must have, and room for more.
const settings = `{"name":"e1","domain":"a","callers":"10.0.0.1:1","peers":"10.0.0.1:2","ops":"10.0.0.1:3","platform":"10.0.0.9:1","secret":"0123456789abcdef","gateway":{MORE}}`

// TestGateway gives fields of the gateway wrong values: each is refused by an
// error that names it.
func TestGateway(t *testing.T) {
	sound := `"resolve":"10.0.0.1:4","ready":"10.0.0.1:5","grace":"6s"`
	p, err := ParseProcess("f", []byte(strings.Replace(settings, "MORE", sound, 1)))
	if err != nil || !p.Gateway().On() {
		t.Fatalf("got: %v want: a gateway", err)
	}
	p, err = ParseProcess("f", []byte(strings.Replace(settings, "MORE", "", 1)))
	if err != nil || p.Gateway().On() {
		t.Fatalf("got: %v want: no gateway", err)
	}
	for _, v := range []struct{ field, more string }{
		{"gateway.ready", `"resolve":"10.0.0.1:4"`},
		{"gateway.resolve", `"ready":"10.0.0.1:4"`},
		{"gateway.resolve", `"resolve":"host:4","ready":"10.0.0.1:5"`},
		{"gateway.grace", sound + `,"probes":1,"share":0.2,"grace":"0s"`},
		{"gateway.grace", `"resolve":"10.0.0.1:4","ready":"10.0.0.1:5","grace":6`},
		{"gateway.probes", sound + `,"probes":-1`},
		{"gateway.probes", sound + `,"probes":"many"`},
		{"gateway.share", sound + `,"share":1.5`},
		{"gateway.extra", sound + `,"extra":-1`},
		{"gateway.window", sound + `,"window":"1ms"`},
		{"gateway.drain", sound + `,"drain":"0s"`},
		{"gateway.memory", sound + `,"memory":-1`},
		{"gateway.cores", sound + `,"cores":-0.5`},
		{"gateway.link", sound + `,"link":"fast"`},
		{"gateway.first", sound + `,"first":"yes"`},
		{"gateway.other", sound + `,"other":1`},
	} {
		_, err := ParseProcess("f", []byte(strings.Replace(settings, "MORE", v.more, 1)))
		var fault *Error
		if !errors.As(err, &fault) || !strings.Contains(err.Error(), v.field) {
			t.Errorf("%s: got: %v want: an error that names it", v.more, err)
		}
	}
}
