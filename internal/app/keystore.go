package app

import (
	"time"

	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
)

// openKeyStore opens the key store, which takes the lock of its folder. The stored keys are read after
// the request lifecycle has been created. Without a folder openKeyStore returns nil.
func (p *Program) openKeyStore(repair bool) (lifecycle.KeyStore, error) {
	if p.operator == nil || p.operator.Store.Dir == "" {
		return nil, nil
	}
	settings := &p.operator.Store
	var err error
	p.keys.store, err = persistence.Open(p.loop, store.Dir(settings.Dir), persistence.Config{
		Settings: settings.Settings(repair),
		Timeout:  time.Duration(settings.TimeoutMs) * time.Millisecond,
		Window:   p.longestWindow(),
	})
	if err != nil {
		return nil, err
	}
	return p.keys.store, nil
}

// restoreKeys passes the keys of earlier incarnations to the request lifecycle, and returns how many
// have a class or tenant that is not configured. With peers, keys whose runs had not ended are left
// out: the peers know their state.
func (p *Program) restoreKeys(keys []lifecycle.KeyRecord) (unknown int) {
	if p.peers == nil {
		return p.requests.Restore(keys)
	}
	ended := keys[:0]
	for _, key := range keys {
		if key.Ended {
			ended = append(ended, key)
		}
	}
	return p.requests.Restore(ended)
}

// keyStoreFailed ends the program, which cannot rely on its stored keys. All open requests are answered
// first.
func (p *Program) keyStoreFailed(err error) {
	p.state.err = err
	p.drain()
}

// closeKeyStore closes the key store and waits for its last writes.
func (p *Program) closeKeyStore() error {
	if p.keys.store == nil {
		return nil
	}
	return p.keys.store.Close()
}
