package persistence

import (
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

// ToRecord converts a key to a record of the given kind that is written at the given time.
func ToRecord(kind store.RecordKind, k lifecycle.KeyRecord, at wallclock.UnixMicro) *store.Record {
	r := &store.Record{
		Kind:      kind,
		Name:      store.KeyName{Class: k.Class, Tenant: k.Tenant, Key: k.Key},
		Owner:     k.Owner,
		WrittenAt: at,
	}
	if kind == store.KeyReleased {
		return r
	}
	r.ExpiresAt = k.ExpiresAt
	r.BodyHash = k.BodyHash
	if kind != store.RunEnded {
		return r
	}
	r.Status = uint8(k.Status)
	if k.Result != nil {
		r.Result = &store.Result{Status: k.Result.Status, Body: k.Result.Body}
		for _, f := range k.Result.Fields {
			r.Result.Fields = append(r.Result.Fields, store.Field{Name: f.Name, Value: f.Value})
		}
	}
	return r
}

// FromRecord converts a record to the state of its key.
func FromRecord(r *store.Record) lifecycle.KeyRecord {
	return keyRecord(
		&store.Key{
			Name:      r.Name,
			Owner:     r.Owner,
			ExpiresAt: r.ExpiresAt,
			BodyHash:  r.BodyHash,
			Ended:     r.Kind == store.RunEnded,
			Status:    r.Status,
			Result:    r.Result,
		},
	)
}

// keyRecord converts a stored key. If its run ended without a result and its status, perhaps written by
// another version, is not that of a failure, the status becomes lifecycle.Failed.
func keyRecord(key *store.Key) lifecycle.KeyRecord {
	k := lifecycle.KeyRecord{
		Class:     key.Name.Class,
		Tenant:    key.Name.Tenant,
		Key:       key.Name.Key,
		Owner:     key.Owner,
		ExpiresAt: key.ExpiresAt,
		BodyHash:  key.BodyHash,
		Ended:     key.Ended,
		Status:    lifecycle.Status(key.Status),
	}
	if key.Result != nil {
		k.Result = &lifecycle.Result{Status: key.Result.Status, Body: key.Result.Body}
		for _, f := range key.Result.Fields {
			k.Result.Fields = append(k.Result.Fields, lifecycle.Field{Name: f.Name, Value: f.Value})
		}
	} else if k.Ended && (k.Status < lifecycle.Failed || k.Status > lifecycle.ResultLost) {
		k.Status = lifecycle.Failed
	}
	return k
}
