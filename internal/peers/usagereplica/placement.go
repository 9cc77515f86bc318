package usagereplica

import (
	"cmp"
	"slices"

	"ryepaddle/internal/peers/placement"
)

// ReplicasOf returns the replicas of a runner's ledger: up to Table.Backups of the other members with
// KeepsUsage, chosen by rendezvous hashing. Members that are leaving are excluded unless the table still
// needs them. One member of each other zone is taken first, then further members of other zones, then
// those of the runner's own zone. The same table gives the same replicas on every runner.
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

// sameZone returns 1 for a member of the zone and 0 for any other, as a sort key.
func sameZone(m placement.Member, zone string) int {
	if m.Zone == zone {
		return 1
	}
	return 0
}

// hashRank returns the rendezvous rank of a replica for a runner, which is the same on every runner.
func hashRank(runner, replica string) uint64 { return placement.Rank(runner + "\x00" + replica) }
