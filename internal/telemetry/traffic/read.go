package traffic

import (
	"cmp"
	"fmt"
	"os"
	"slices"
)

// Read reads recordings of several runners as one. They must be of the same classes and tenants.
func Read(paths ...string) (*Recording, error) {
	var all *Recording
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("traffic: %w", err)
		}
		rec, err := Decode(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("traffic: %s: %w", path, err)
		}
		if rec.Truncation != nil {
			rec.Truncation = fmt.Errorf("traffic: %s: %w", path, rec.Truncation)
		}
		if all == nil {
			all = rec
			continue
		}
		if !slices.Equal(all.Classes, rec.Classes) || !slices.Equal(all.Tenants, rec.Tenants) {
			return nil, fmt.Errorf("traffic: %s: other classes or tenants than %s has", path, paths[0])
		}
		all.Runner += ", " + rec.Runner
		all.StartedAt = min(all.StartedAt, rec.StartedAt)
		all.Requests = append(all.Requests, rec.Requests...)
		all.Lost.Queue, all.Lost.Bytes, all.Lost.Errors = all.Lost.Queue+rec.Lost.Queue, all.Lost.Bytes+rec.Lost.Bytes, all.Lost.Errors+rec.Lost.Errors
		all.OutOfOrder += rec.OutOfOrder
		all.Truncation = cmp.Or(all.Truncation, rec.Truncation)
	}
	return all, nil
}

// WithoutRetries gives the requests in the order of their times, without what looks like further tries
// of one that came before: those with its dedupe key or, where there is none, of the same caller
// with the same body, within so long of the first, by class. Runners are not told which tries are
// further ones, so that this is a guess, and equal requests of two clients within that time count
// as one.
func (rec *Recording) WithoutRetries(within func(class int) int64) (first []Request, further int) {
	type name struct {
		class, tenant uint16
		caller        uint32
		key, body     uint64
	}
	sorted := slices.Clone(rec.Requests)
	slices.SortStableFunc(sorted, func(a, b Request) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	seen := map[name]int64{}
	for _, q := range sorted {
		n := name{class: q.Class, tenant: q.Tenant, key: q.KeyHash}
		if q.KeyHash == 0 {
			if q.BodyHash == 0 {
				first = append(first, q)
				continue
			}
			n.caller, n.body = q.Caller, q.BodyHash
		}
		if at, ok := seen[n]; ok && q.ArrivedAt-at <= within(int(q.Class)) {
			further++
			continue
		}
		seen[n] = q.ArrivedAt
		first = append(first, q)
	}
	return first, further
}
