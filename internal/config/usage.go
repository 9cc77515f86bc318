package config

import (
	"strings"
	"time"

	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/usage/metering"
	"ryepaddle/internal/wallclock"
)

// Usage configures the usage ledger, in which the use of each tenant is counted, and the statements
// that report it.
type Usage struct {
	// Dir is the folder of the ledger; empty: off.
	Dir string `yaml:"dir"`
	// PeriodMin is the time in minutes that one statement covers; default 60.
	PeriodMin int64 `yaml:"period_min"`
	// SliceS is the time in s over which shares are compared with quotas; default 60.
	SliceS int64 `yaml:"slice_s"`
	// GraceS is the time in s after the end of a period until it is settled; default 5.
	GraceS int64 `yaml:"grace_s"`
	// FlushIntervalS is the time in s between two writes of the ledger; default 5.
	FlushIntervalS int64 `yaml:"every_s"`
	// Queue is the most requests that wait in memory to be accounted; default 16,384.
	Queue int `yaml:"queue"`
	// Keys is the most idempotency keys that the ledger remembers, in a period and while requests may
	// be retried; default 20,000.
	Keys int `yaml:"keys"`
	// Lines is the most lines of the ledger: tenants times classes times open periods; default 1000.
	Lines int `yaml:"lines"`
}

// defaultUsage returns the defaults of the usage ledger.
func defaultUsage() Usage {
	return Usage{
		PeriodMin:      60,
		SliceS:         60,
		GraceS:         5,
		FlushIntervalS: 5,
		Queue:          16_384,
		Keys:           20_000,
		Lines:          1000,
	}
}

// Options returns the options of the meter.
func (u *Usage) Options(instance string) metering.Options {
	micros := func(count int64, unit time.Duration) wallclock.Micros {
		return wallclock.MicrosOf(time.Duration(count) * unit)
	}
	return metering.Options{
		Dir:          u.Dir,
		RingCapacity: u.Queue,
		SaveInterval: time.Duration(u.FlushIntervalS) * time.Second,
		Settings: ledger.Settings{Instance: instance,
			Period:   micros(u.PeriodMin, time.Minute),
			Slice:    micros(u.SliceS, time.Second),
			Grace:    micros(u.GraceS, time.Second),
			MaxKeys:  u.Keys,
			MaxLines: u.Lines},
	}
}

// maxSlices is the largest number of slices of a period.
const maxSlices = 1440

// Estimated memory of the ledger in bytes.
const (
	ledgerKeyBytes    = 400 // of a key in memory, in a list of keys and in the file
	ledgerLineBytes   = 300 // of a line without its slices; a line is copied once to be written
	sliceBytes        = 8   // of one slice of a line
	queuedRecordBytes = 64  // of a request that waits to be accounted
)

// checkUsage checks the periods and the estimated memory of the ledger, and resolves its folder.
func (o *Operator) checkUsage(p *Platform) error {
	u := &o.Usage
	if u.Dir == "" {
		return nil
	}
	periodS := u.PeriodMin * 60
	if periodS%u.SliceS != 0 || periodS/u.SliceS > maxSlices {
		return o.document.Errorf(
			"usage.slice_s",
			"%d does not divide the period of %d s, or divides it into more than %d slices",
			u.SliceS,
			periodS,
			maxSlices,
		)
	}
	if strings.ContainsAny(p.Name, "/\x00") {
		return o.document.Errorf(
			"usage.dir",
			"the name of this runner, %q, cannot be part of a file name",
			p.Name,
		)
	}
	lineBytes := ledgerLineBytes + sliceBytes*int(periodS/u.SliceS)
	need := u.Keys*ledgerKeyBytes + u.Lines*2*lineBytes + u.Queue*queuedRecordBytes
	if need > p.MemoryMB<<20/8 {
		return o.document.Errorf(
			"usage",
			"keys, lines and queue of that size may need %d MB, over an eighth of memory_mb",
			need>>20,
		)
	}
	return o.resolveFolder("usage.dir", &u.Dir)
}
