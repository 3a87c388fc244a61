package quarantiner

import (
	"encoding/json"
	"testing"

	"github.com/juju/errors"
)

func TestFingerprintParts(t *testing.T) {
	a := FingerprintOf([]byte("GET"), []byte("/a"), []byte("b"))
	for _, parts := range [][][]byte{
		{[]byte("GET"), []byte("/ab"), nil},
		{[]byte("GET"), []byte("/a"), []byte("c")},
		{[]byte("GET/a"), []byte("b"), nil},
	} {
		if got := FingerprintOf(parts...); got == a {
			t.Errorf("parts %q: got: %v want: another fingerprint", parts, got)
		}
	}
	if got := FingerprintOf([]byte("GET"), []byte("/a"), []byte("b")); got != a {
		t.Errorf("same parts: got: %v want: %v", got, a)
	}
}

func TestFingerprintText(t *testing.T) {
	want := FingerprintOf([]byte("x"))
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Fingerprint
	if err := json.Unmarshal(text, &got); err != nil || got != want {
		t.Errorf("got: %v, %v want: %v", got, err, want)
	}
	for _, bad := range []string{`""`, `"00"`, `"zz"`, `"00112233445566778899aabbccddeeff00"`} {
		if err := json.Unmarshal([]byte(bad), &got); !errors.Is(err, errors.NotValid) {
			t.Errorf("%s: got: %v want: NotValid", bad, err)
		}
	}
}
