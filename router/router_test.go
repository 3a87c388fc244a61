package router

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strconv"
	"testing"

	"github.com/juju/errors"

	"poplarwind/internal/scripter"
)

func loadSpec(t *testing.T, file string) Spec {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var s Spec
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestRoutes runs scripts that load configurations and look up routes.
func TestRoutes(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(t *testing.T) func([]string) string {
		var table *Table
		return func(args []string) string {
			switch args[0] {
			case "load":
				next, err := NewTable(loadSpec(t, "testdata/"+args[1]), table)
				if err != nil {
					return err.Error()
				}
				table = next
				return fmt.Sprint(table.Version())
			case "find":
				if r := table.Find(args[1], args[2]); r != nil {
					return r.Name
				}
				return "none"
			case "host":
				return table.MainService(args[1])
			case "distribute":
				r := table.Find(args[1], args[2])
				n, err := strconv.Atoi(args[3])
				if err != nil {
					t.Fatal(err)
				}
				count := map[string]int{}
				for range n {
					count[r.NextService()]++
				}
				return fmt.Sprint(count)
			}
			return "unknown command"
		}
	})
}

// TestInvalid invalidates one field at a time: the error must begin with the name
// of the field.
func TestInvalid(t *testing.T) {
	for _, v := range []struct {
		field      string
		invalidate func(*Spec)
	}{
		{"version", func(s *Spec) { s.Version = 0 }},
		{"routes[0].host", func(s *Spec) { s.Routes[0].Host = "" }},
		{"routes[1].prefix", func(s *Spec) { s.Routes[1].Prefix = "/open" }},
		{"routes[1].attempts", func(s *Spec) { s.Routes[1].Attempts = 0 }},
		{"routes[0].timeout", func(s *Spec) { s.Routes[0].Timeout = 0 }},
		{"routes[0].objective", func(s *Spec) { s.Routes[0].Objective = -1 }},
		{"routes[0].parts", func(s *Spec) { s.Routes[0].Targets = nil }},
		{"routes[0].parts[0]", func(s *Spec) { s.Routes[0].Targets = []SplitTarget{{Service: "jobs", Weight: -1}} }},
		{"routes[0].parts", func(s *Spec) { s.Routes[0].Targets = []SplitTarget{{Service: "jobs"}} }},
		{"customers[0].name", func(s *Spec) { s.Customers = []Customer{{}} }},
		{"customers[1].name", func(s *Spec) { s.Customers = []Customer{{Name: "a"}, {Name: "a"}} }},
		{"customers[0].rate", func(s *Spec) { s.Customers = []Customer{{Name: "a", Rate: -1}} }},
		{"customers[0].burst", func(s *Spec) { s.Customers = []Customer{{Name: "a", Burst: math.NaN()}} }},
		{"services[0].name", func(s *Spec) { s.Services[0].Name = "" }},
	} {
		s := loadSpec(t, "testdata/small.json")
		v.invalidate(&s)
		_, err := NewTable(s, nil)
		if !errors.Is(err, ErrInvalid) || len(err.Error()) < len(v.field) || err.Error()[:len(v.field)] != v.field {
			t.Errorf("got: %v want: an error that begins with %s", err, v.field)
		}
	}
}
