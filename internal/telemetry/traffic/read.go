package traffic

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"time"

	"ryepaddle/internal/wallclock"
)

// Read reads the recordings of several runners and merges them into one. They must have the same classes
// and tenants. The error names the file.
func Read(paths ...string) (*Recording, error) {
	var all *Recording
	for _, path := range paths {
		rec, err := readFile(path)
		if err != nil {
			return nil, err
		}
		if all == nil {
			all = rec
			continue
		}
		if !slices.Equal(all.Classes, rec.Classes) || !slices.Equal(all.Tenants, rec.Tenants) {
			return nil, fmt.Errorf("traffic: %s: its classes or tenants differ from those of %s", path, paths[0])
		}
		all.merge(rec)
	}
	return all, nil
}

func readFile(path string) (*Recording, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("traffic: %w", err)
	}
	defer f.Close()
	rec, err := Decode(f)
	if err != nil {
		return nil, fmt.Errorf("traffic: %s: %w", path, err)
	}
	if rec.Truncation != nil {
		rec.Truncation = fmt.Errorf("traffic: %s: %w", path, rec.Truncation)
	}
	return rec, nil
}

// merge adds another runner's recording.
func (rec *Recording) merge(other *Recording) {
	rec.Runner += ", " + other.Runner
	rec.StartedAt = min(rec.StartedAt, other.StartedAt)
	rec.Requests = append(rec.Requests, other.Requests...)
	rec.Lost.add(other.Lost)
	rec.OutOfOrder += other.OutOfOrder
	rec.Truncation = cmp.Or(rec.Truncation, other.Truncation)
}

// identity is what retries of a request have in common: its idempotency key or, without one, its
// caller and body.
type identity struct {
	class, tenant uint16
	caller        uint32
	key, body     uint64
}

// identityOf returns the identity of a request, and false if it has neither a key nor a body.
func identityOf(q *Request) (identity, bool) {
	id := identity{class: q.Class, tenant: q.Tenant}
	if q.KeyHash != 0 {
		id.key = q.KeyHash
		return id, true
	}
	id.caller = q.Caller
	id.body = q.BodyHash
	return id, q.BodyHash != 0
}

// WithoutRetries returns the requests in the order of their arrivals, without those that look like
// retries, and the number of those. A request looks like a retry if it arrived within the retry window of
// its class after a request that is not a retry itself and has the same idempotency key or, without a key,
// the same caller and body. This is an estimate, because runners are not told which requests are retries:
// equal requests of two clients count as one.
func (rec *Recording) WithoutRetries(window func(class int) time.Duration) (first []Request, retries int) {
	sorted := slices.Clone(rec.Requests)
	slices.SortStableFunc(sorted, func(a, b Request) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	seen := map[identity]wallclock.UnixMicro{}
	for _, q := range sorted {
		id, ok := identityOf(&q)
		if !ok {
			first = append(first, q)
			continue
		}
		at, known := seen[id]
		if known && wallclock.Micros(q.ArrivedAt-at) <= wallclock.MicrosOf(window(int(q.Class))) {
			retries++
			continue
		}
		seen[id] = q.ArrivedAt
		first = append(first, q)
	}
	return first, retries
}
