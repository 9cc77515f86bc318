package lifecycle

import (
	"testing"
	"time"

	"ryepaddle/internal/testing/scenario"
)

// replicas stands in for other runners that keep keys: a run may begin at once, and its result is
// confirmed when the test says so. It sends `confirm`.
type replicas struct {
	*table
	confirm func(error)
}

func (*replicas) Unavailable() (time.Duration, string)  { return 0, "" }
func (*replicas) MissingReplicas() bool                 { return false }
func (*replicas) Timeout() time.Duration                { return 500 * time.Millisecond }
func (*replicas) Started(_ KeyRecord, done func(error)) { done(nil) }
func (p *replicas) Ended(_ KeyRecord, done func(error)) { p.confirm = done }
func (*replicas) Released(KeyRecord)                    {}

// Send implements scenario.Actor.
func (p *replicas) Send(words []string) error {
	if words[0] == "confirm" {
		p.confirm(nil)
		return nil
	}
	return p.table.Send(words)
}

// The result of a run is not given out before other runners have confirmed it, however long that
// takes: they would tell repeats that the run is in doubt.
func TestResultWaitsForItsReplicas(t *testing.T) {
	for name, script := range map[string]string{
		"confirmed after the patience": `
			core send ask 1 hand-in k1
			core expect run 1
			core send end 1 fine result
			core send pass 1500
			core expect nothing
			core send confirm
			core expect answer 1 served result`,
		"not confirmed in time, and then for a repeat": `
			core send ask 1 hand-in k1
			core expect run 1
			core send end 1 fine result
			core send pass 2000
			core send ask 2 hand-in k1
			core expect nothing
			core send pass 470
			core expect answer 1 late
			core send confirm
			core expect answer 2 served result
			core send ask 3 hand-in k1
			core expect answer 3 served result`,
		"a drain begins before it is confirmed": `
			core send ask 1 hand-in k1
			core expect run 1
			core send end 1 fine result
			core send drain 1000
			core send pass 690
			core expect nothing
			core send pass 20
			core expect answer 1 late`,
		"its run ends in a drain": `
			core send ask 1 hand-in k1
			core expect run 1
			core send drain 1000
			core send end 1 fine result
			core send pass 710
			core expect answer 1 late`,
		"a failure waits for its patience alone": `
			core send ask 1 hand-in k1
			core expect run 1
			core send end 1 fault
			core send pass 510
			core expect answer 1 failed`,
	} {
		t.Run(name, func(t *testing.T) {
			p := &replicas{table: newTable(t, 1)}
			p.env.KeyStore = p
			scenario.Play(t, script, map[string]scenario.Actor{"core": p})
		})
	}
}
