package lease_test

import (
	"testing"
	"time"

	"ryepaddle/internal/peers/lease"
)

// The holder of a zone's lease checks all its servers. The other runners check only servers without a
// recent report that they are healthy, thus all servers if nobody holds the lease.
func TestServersWithARecentReportAreNotChecked(t *testing.T) {
	const interval = time.Second
	holds := func(name string) (uint64, bool) { return 7, name == "checks-h1" }
	holdsNone := func(string) (uint64, bool) { return 0, false }
	holder, other := lease.NewHealthChecks([]string{"h1"}), lease.NewHealthChecks([]string{"h1"})
	if check, _, token := holder.ShouldCheck("g", "s1", "h2", interval, 0, true, holds); !check || token != 0 {
		t.Error("ShouldCheck() in a zone without a lease: want a check without a token")
	}
	check, name, token := holder.ShouldCheck("g", "s1", "h1", interval, 0, true, holds)
	if !check || name != "checks-h1" || token != 7 {
		t.Errorf("ShouldCheck() by the holder = %v, %s, %d, want true, checks-h1, 7", check, name, token)
	}
	holder.RecordResult(name, token, "g", "s1", true, 0)
	holder.RecordResult(name, token, "g", "s2", false, 0)
	reports := holder.TakeReports("n1", 500*time.Millisecond, holds)
	if len(reports) != 1 || len(holder.TakeReports("n1", 0, holds)) != 0 {
		t.Fatalf("TakeReports() = %+v, want one report and then none", reports)
	}
	if err := other.Receive(&reports[0], 10*time.Second); err != nil {
		t.Error(err)
	}
	for _, tt := range []struct {
		name, server     string
		after            time.Duration
		inService, check bool
	}{
		{"a healthy server", "s1", 100 * time.Millisecond, true, false},
		{"an unhealthy server", "s2", 100 * time.Millisecond, true, true},
		{"no report", "s3", 100 * time.Millisecond, true, true},
		{"a server that is not in service", "s1", 100 * time.Millisecond, false, true},
		{"a report as old as two checks", "s1", 2*interval - 500*time.Millisecond, true, false},
		{"an older report", "s1", 2*interval - 500*time.Millisecond + time.Microsecond, true, true},
	} {
		now := 10*time.Second + tt.after
		check, _, _ := other.ShouldCheck("g", tt.server, "h1", interval, now, tt.inService, holdsNone)
		if check != tt.check {
			t.Errorf("ShouldCheck() for %s = %v, want the opposite", tt.name, check)
		}
	}
	reports[0].Token = 6
	if other.Receive(&reports[0], 11*time.Second) == nil || other.Stale != 1 {
		t.Error("a report of a runner that lost the lease is accepted or not counted as stale")
	}
	holder.RecordResult(name, 7, "g", "s1", true, 0)
	if got := holder.TakeReports("n1", 0, holdsNone); len(got) != 0 {
		t.Errorf("TakeReports() after the loss of the lease = %+v, want none", got)
	}
}
