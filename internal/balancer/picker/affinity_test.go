package picker

import (
	"fmt"
	"testing"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
)

func TestKeysStayWithTheirServersOverInstancesAndListChanges(t *testing.T) {
	cfg := DefaultConfig(1 << 20)
	cfg.KeyAffinity, cfg.ConcurrencyLimit.Initial = true, 1<<20
	cfg.ConcurrencyLimit.Max = 1 << 20
	const keys = 20000
	keyOwners := func(list []endpointhealth.EndpointSpec, self string) map[int]string {
		p := New(cfg, self, 3, 7, func(*Server, endpointhealth.StateChange) {})
		p.UpdateEndpoints(list, time.Second)
		out := map[int]string{}
		for k := range keys {
			to, reason := send(p, Query{Key: fmt.Sprint("key", k), Now: 2 * time.Second})
			if reason != Affinity {
				t.Fatalf("reason of a pick with a key = %v, want Affinity", reason)
			}
			out[k] = to.Name
		}
		return out
	}
	for _, n := range []int{3, 17, 200} {
		list := testSpecs(n, "a", "b")
		before, elsewhere, after := keyOwners(list, "here"), keyOwners(list, "there"), keyOwners(list[1:], "here")
		moved, load := 0, map[string]int{}
		for k, name := range before {
			load[name]++
			if elsewhere[k] != name {
				t.Fatalf("key %d maps to %s at one instance and to %s at another", k, name, elsewhere[k])
			}
			if after[k] != name {
				if moved++; name != list[0].Name {
					t.Fatalf("key %d moves away from %s, which is still listed", k, name)
				}
			}
		}
		most := 0
		for _, c := range load {
			most = max(most, c)
		}
		if moved != load[list[0].Name] || float64(most) > 1.6*float64(keys)/float64(n) {
			t.Errorf(
				"%d servers: %d of %d keys move, want those of the removed one; most keys at one: %.2f times the mean",
				n,
				moved,
				keys,
				float64(most)*float64(n)/keys,
			)
		}
	}
}

func TestKeysAreSpreadByWeight(t *testing.T) {
	cfg := DefaultConfig(1 << 20)
	cfg.KeyAffinity, cfg.ConcurrencyLimit.Initial, cfg.ConcurrencyLimit.Max = true, 1<<20, 1<<20
	list := testSpecs(20, "a")
	for i := range 10 {
		list[i].Weight = 3
	}
	p := newTestPicker(cfg, list)
	heavy := 0
	for k := range 20000 {
		if to, _ := send(p, Query{Key: fmt.Sprint(k), Now: 2 * time.Second}); to.Weight == 3 {
			heavy++
		}
	}
	if share := float64(heavy) / 20000; share < 0.65 || share > 0.85 {
		t.Errorf("the half of the servers with weight 3 has %.2f of the keys, want about 0.75", share)
	}
}

// Also guards against servers that are in the subset of no instance, or of too many.
func TestListChangeChangesAtMostOneServerOfASubset(t *testing.T) {
	list := testSpecs(200, "a")
	uses := map[string]int{}
	for i := range 100 {
		self := fmt.Sprint("instance", i)
		before, after := subset(self, list, 20), subset(self, list[1:], 20)
		if len(before) != 20 || len(after) != 20 {
			t.Fatalf("sizes of the subsets = %d and %d, want 20", len(before), len(after))
		}
		had := map[string]bool{}
		for _, l := range before {
			had[l.Name] = true
			uses[l.Name]++
		}
		changed := 0
		for _, l := range after {
			if !had[l.Name] {
				changed++
			}
		}
		if changed > 1 {
			t.Errorf("%s: %d servers of the subset change, want at most 1", self, changed)
		}
	}
	for _, l := range list {
		if uses[l.Name] == 0 || uses[l.Name] > 25 {
			t.Errorf("%s is in %d of 100 subsets, want 1 to 25; the mean is 10", l.Name, uses[l.Name])
		}
	}
}
