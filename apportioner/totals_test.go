package apportioner

import (
	"fmt"
	"testing"
	"time"
)

// TestTotals guards against metrics with a label for each of many customers, and against totals that
// fall when an admission is returned or a customer is removed from the configuration: a counter that
// falls counts as one that began anew.
func TestTotals(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(now, "a", 1, 0)
	table.SetMembership(now, Membership{Alone: true})
	now = now.Add(startTime)
	limits := make(map[string]Limit)
	for i := range 30 {
		limits[fmt.Sprintf("c%02d", i)] = Limit{Rate: 1, Burst: 1}
	}
	limits["quiet"] = Limit{Rate: 1, Burst: 1}
	table.Configure(now, limits)
	table.Admit(now, "quiet")
	rejected := int64(0)
	for i := range 30 {
		for range 3 + i {
			if !table.Admit(now, fmt.Sprintf("c%02d", i)).Admitted {
				rejected++
			}
		}
	}
	list := table.MostRejected(now, 20)
	if len(list) != 20 || list[0].Customer != "c29" || list[19].Customer != "c10" || list[0].Rejected < list[1].Rejected {
		t.Errorf("got: %+v want: the 20 customers with the most rejections, most first", list)
	}
	before := table.Totals()
	if before.Rejected != rejected || before.Admitted < 31 {
		t.Errorf("got: %+v want: %d rejected, at least 31 admitted", before, rejected)
	}
	admitted := table.MostRejected(now, 1)[0].Admitted
	table.Return(now, "c29")
	if s := table.MostRejected(now, 1)[0]; s.Admitted != admitted || s.Returned != 1 {
		t.Errorf("returned: got: %d admitted, %d returned want: %d, 1", s.Admitted, s.Returned, admitted)
	}
	table.Configure(now, nil)
	if after := table.Totals(); after.Admitted != before.Admitted || after.Rejected != before.Rejected || after.Returned != 1 {
		t.Errorf("after removal: got: %+v want: as before with 1 returned, %+v", after, before)
	}
}
