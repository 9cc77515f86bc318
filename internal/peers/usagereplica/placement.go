package usagereplica

import (
	"cmp"
	"slices"

	"ryepaddle/internal/peers/placement"
)

// ReplicasOf returns the replicas of a runner's ledger, of the members that keep ledgers: as many as
// the table has backups, of other zones first and of each zone one first, by rendezvous hashing. The
// same table gives the same replicas everywhere.
func ReplicasOf(t *placement.Table, name string) []placement.Member {
	zone := ""
	if m := t.Member(name); m != nil {
		zone = m.Zone
	}
	var candidates []placement.Member
	for _, m := range t.Members {
		stays := !m.Leaving || t.NeedsLeavingMembers()
		if m.Incarnation != 0 && m.Name != name && m.KeepsUsage && stays {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b placement.Member) int {
		return cmp.Or(
			cmp.Compare(sameZone(a, zone), sameZone(b, zone)),
			cmp.Compare(hashRank(name, a.Name), hashRank(name, b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	seen := map[string]bool{zone: true}
	var first, rest []placement.Member
	for _, m := range candidates {
		if seen[m.Zone] {
			rest = append(rest, m)
		} else {
			first = append(first, m)
		}
		seen[m.Zone] = true
	}
	candidates = append(first, rest...)
	return candidates[:min(len(candidates), t.Backups)]
}

// sameZone is 1 for a member of the zone and 0 for any other.
func sameZone(m placement.Member, zone string) int {
	if m.Zone == zone {
		return 1
	}
	return 0
}

// hashRank returns a number of a runner and a replica, the same everywhere.
func hashRank(runner, replica string) uint64 { return placement.Rank(runner + "\x00" + replica) }
