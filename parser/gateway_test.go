package parser

import (
	"errors"
	"strings"
	"testing"
)

// settings holds the required fields of the process settings. MORE is replaced
// by the gateway fields under test.
const settings = `{"name":"e1","domain":"a","callers":"10.0.0.1:1","peers":"10.0.0.1:2","ops":"10.0.0.1:3","platform":"10.0.0.9:1","secret":"0123456789abcdef","gateway":{MORE}}`

// TestGateway checks that each invalid gateway field is rejected with an error
// that names the field, and that the gateway is enabled only by its addresses.
func TestGateway(t *testing.T) {
	valid := `"resolve":"10.0.0.1:4","ready":"10.0.0.1:5","grace":"6s"`
	p, err := ParseProcess("f", []byte(strings.Replace(settings, "MORE", valid, 1)))
	if err != nil || !p.Gateway().Enabled() {
		t.Fatalf("got: %v want: a gateway", err)
	}
	p, err = ParseProcess("f", []byte(strings.Replace(settings, "MORE", "", 1)))
	if err != nil || p.Gateway().Enabled() {
		t.Fatalf("got: %v want: no gateway", err)
	}
	for _, v := range []struct{ field, more string }{
		{"gateway.ready", `"resolve":"10.0.0.1:4"`},
		{"gateway.resolve", `"ready":"10.0.0.1:4"`},
		{"gateway.resolve", `"resolve":"host:4","ready":"10.0.0.1:5"`},
		{"gateway.grace", valid + `,"probes":1,"share":0.2,"grace":"0s"`},
		{"gateway.grace", `"resolve":"10.0.0.1:4","ready":"10.0.0.1:5","grace":6`},
		{"gateway.probes", valid + `,"probes":-1`},
		{"gateway.probes", valid + `,"probes":"many"`},
		{"gateway.share", valid + `,"share":1.5`},
		{"gateway.hedge", valid + `,"hedge":0.51`},
		{"gateway.hedge", valid + `,"hedge":-0.01`},
		{"gateway.hedge", valid + `,"hedge":"some"`},
		{"gateway.extra", valid + `,"extra":-1`},
		{"gateway.window", valid + `,"window":"1ms"`},
		{"gateway.drain", valid + `,"drain":"0s"`},
		{"gateway.memory", valid + `,"memory":-1`},
		{"gateway.cores", valid + `,"cores":-0.5`},
		{"gateway.link", valid + `,"link":"fast"`},
		{"gateway.first", valid + `,"first":"yes"`},
		{"gateway.other", valid + `,"other":1`},
	} {
		_, err := ParseProcess("f", []byte(strings.Replace(settings, "MORE", v.more, 1)))
		var fault *Error
		if !errors.As(err, &fault) || !strings.Contains(err.Error(), v.field) {
			t.Errorf("%s: got: %v want: an error that names it", v.more, err)
		}
	}
}
