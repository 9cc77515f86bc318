package app

import (
	"time"

	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
)

// openKeyStore takes the lock of the store's folder. Its contents are read after the request
// lifecycle was created. Without a folder it returns nil.
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

// restoreKeys gives the request lifecycle the keys of earlier incarnations, and returns how many
// are unknown to it. With peers, a key whose run had not ended is left out: the peers know its
// state.
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

// keyStoreFailed ends a program that cannot rely on its stored keys: all open requests are answered
// first.
func (p *Program) keyStoreFailed(err error) {
	p.state.err = err
	p.drain()
}

// closeKeyStore waits for the last writes.
func (p *Program) closeKeyStore() error {
	if p.keys.store == nil {
		return nil
	}
	return p.keys.store.Close()
}
