package metering

import (
	"time"

	"ryepaddle/internal/wallclock"
)

// accountWorker is the goroutine that keeps the account.
type accountWorker struct {
	meter   *Meter
	account *accountStore

	failedAt     time.Time // when the disk began to fail; zero: it works
	retryAt      time.Time // end of the backoff after a failure
	reportedLost uint64    // records of the ring whose loss was logged
}

// run runs until the meter is closed.
func (w *accountWorker) run() {
	m := w.meter
	defer close(m.done)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.advanceUnlessBackoff()
			m.replicate(w.account.publisher, triggerTick)
		case <-m.accountBox.ready:
			w.account.countRing()
			m.replicate(w.account.publisher, triggerEvent)
		case call := <-m.calls:
			w.advanceUnlessBackoff()
			call(w.account)
			m.replicate(w.account.publisher, triggerEvent)
		case <-m.closing:
			w.finish()
			return
		}
	}
}

// finish advances the account a last time, and saves unsaved changes.
func (w *accountWorker) finish() {
	w.advance()
	if !w.account.dirty {
		return
	}
	if err := w.account.save(wallclock.FromTime(wallclock.Now())); err != nil {
		eventDiskFailed.Log(err)
	}
}

// advanceUnlessBackoff advances the account, unless the disk failed less than retryBackoff ago.
func (w *accountWorker) advanceUnlessBackoff() {
	if !time.Now().Before(w.retryAt) {
		w.advance()
	}
}

// advance counts the records of the ring, seals, saves and exports what is due, and logs the results.
func (w *accountWorker) advance() {
	err := w.account.advance(wallclock.FromTime(wallclock.Now()))
	for _, name := range w.account.takeExported() {
		eventExported.Log(name)
		if w.account.publisher != nil {
			w.meter.remoteBox.putExported(name)
		}
	}
	if lost := w.account.ringLost; lost != w.reportedLost {
		eventLost.Log(lost-w.reportedLost, "the ring was full, as the disk did not accept earlier records")
		w.reportedLost = lost
	}
	w.logDiskChange(err)
}

// logDiskChange logs the first failure of the disk and its recovery, and sets the backoff.
func (w *accountWorker) logDiskChange(err error) {
	if err != nil {
		if w.failedAt.IsZero() {
			w.failedAt = time.Now()
			eventDiskFailed.Log(err)
		}
		w.retryAt = time.Now().Add(retryBackoff)
		return
	}
	if !w.failedAt.IsZero() {
		eventDiskRecovered.Log(time.Since(w.failedAt).Milliseconds())
		w.failedAt = time.Time{}
	}
}
