package parser

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/txtar"
)

// sentinels maps the cause names used in the data files to errors.
var sentinels = map[string]error{
	"syntax": ErrSyntax, "unknown": ErrUnknown, "duplicate": ErrDuplicate, "type": ErrType, "unit": ErrUnit,
	"range": ErrRange, "size": ErrSize, "path": ErrPath, "owner": ErrOwner, "missing": ErrMissing,
}

// TestData parses each file of each archive in testdata. A file in an archive
// is named kind/name, and its first line states the expected result:
// "// want: ok" or "// want: CAUSE LINE PATH FIELD", with "-" for none.
func TestData(t *testing.T) {
	archives, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(archives) == 0 {
		t.Fatalf("archives: got: %v, %v want: some", archives, err)
	}
	for _, a := range archives {
		text, err := os.ReadFile(a)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range txtar.Parse(text).Files {
			t.Run(f.Name, func(t *testing.T) { checkFile(t, f) })
		}
	}
}

func checkFile(t *testing.T, f txtar.File) {
	first, _, _ := strings.Cut(string(f.Data), "\n")
	want := strings.Fields(strings.TrimPrefix(first, "// want: "))
	kind, _, _ := strings.Cut(f.Name, "/")
	var err error
	switch kind {
	case "process":
		_, err = ParseProcess(f.Name, f.Data)
	case "service":
		_, err = ParseService(f.Name, "/t/s", f.Data)
	default:
		_, err = ParseBundle(f.Name, "coastline", f.Data)
	}
	if want[0] == "ok" {
		if err != nil {
			t.Errorf("got: %v want: no error", err)
		}
		return
	}
	var e *Error
	if !errors.As(err, &e) || !errors.Is(err, sentinels[want[0]]) {
		t.Fatalf("got: %v want: %v", err, sentinels[want[0]])
	}
	got := []string{want[0], strconv.Itoa(e.Line()), orDash(e.Path()), orDash(e.Field())}
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Errorf("got: %v want: %v (%v)", got, want, err)
	}
	if e.File() != f.Name {
		t.Errorf("file: got: %q want: %q", e.File(), f.Name)
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"coastline", "kalame"} {
		text, err := os.ReadFile("../examples/" + name + ".jsonc")
		if err != nil {
			t.Fatal(err)
		}
		docs, err := ParseBundle(name, name, text)
		if err != nil || len(docs) != 4 {
			t.Errorf("%s: got: %d documents, %v want: 4", name, len(docs), err)
		}
	}
}

func TestTooLarge(t *testing.T) {
	if err := Check("", "/t/s", make([]byte, MaxDocument+1)); !errors.Is(err, ErrSize) {
		t.Errorf("document: got: %v want: %v", err, ErrSize)
	}
	if _, err := ParseBundle("", "t", make([]byte, MaxSubtree+1)); !errors.Is(err, ErrSize) {
		t.Errorf("bundle: got: %v want: %v", err, ErrSize)
	}
	if err := CheckSubtree("t", MaxSubtree+1); !errors.Is(err, ErrSize) {
		t.Errorf("subtree: got: %v want: %v", err, ErrSize)
	}
}

func TestRoute(t *testing.T) {
	s, err := ParseService("", "/t/s", []byte(`{"deadline": "2s", "routes": [
		{"match": "/o", "class": "bulk"},
		{"match": "/orders", "methods": ["POST"], "class": "urgent", "deadline": "1s", "key": true, "weight": 9},
		{"match": "/search", "methods": ["POST"], "idempotent": true}]}`))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		method, path string
		class        Class
		idempotent   bool
		key          bool
	}{
		{"GET", "/", Normal, true, false},
		{"POST", "/", Normal, false, false},
		{"DELETE", "/", Normal, false, false},
		{"POST", "/orders/1", Urgent, false, true},
		{"GET", "/orders/1", Bulk, true, false},
		{"POST", "/search", Normal, true, false},
		{"PUT", "/orders", Bulk, false, false},
	}
	for _, v := range tests {
		r := s.Route(v.method, v.path)
		if r.Class() != v.class || r.Idempotent() != v.idempotent || r.KeyRequired() != v.key {
			t.Errorf("%s %s: got: %v %v %v want: %v", v.method, v.path, r.Class(), r.Idempotent(), r.KeyRequired(), v)
		}
	}
}

func FuzzBundle(f *testing.F) {
	for _, name := range []string{"coastline", "kalame"} {
		text, err := os.ReadFile("../examples/" + name + ".jsonc")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"/t/s": {"slots": 1e9}}`))
	f.Add([]byte(`{"/t/s": [`))
	f.Fuzz(func(t *testing.T, text []byte) {
		docs, err := ParseBundle("f", "", text)
		var e *Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("got: %T want: *Error", err)
		}
		for _, d := range docs {
			if err == nil && d.Check() != nil {
				t.Fatalf("%s: accepted in a bundle but rejected on its own", d.Path())
			}
		}
	})
}
