package config

import (
	"strings"

	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/usage/metering"
)

// Usage turns the account of what schools use on.
type Usage struct {
	Dir            string `yaml:"dir"`        // empty: none is kept
	PeriodMin      int64  `yaml:"period_min"` // that a statement settles
	SliceS         int64  `yaml:"slice_s"`    // in which shares are looked at
	GraceS         int64  `yaml:"grace_s"`    // after its end until a period is settled
	FlushIntervalS int64  `yaml:"every_s"`    // between two writes of the account
	Queue          int    `yaml:"queue"`      // requests in memory that are not yet in it
	// hand-ins that are known by their keys, in a period and while they may be repeated
	Keys  int `yaml:"keys"`
	Lines int `yaml:"lines"` // schools times classes times open periods
}

func defaultUsage() Usage {
	return Usage{PeriodMin: 60, SliceS: 60, GraceS: 5, FlushIntervalS: 5, Queue: 16_384, Keys: 20_000, Lines: 1000}
}

// Options are those of the meter.
func (u *Usage) Options(instance string) metering.Options {
	const second = 1_000_000
	return metering.Options{
		Dir:     u.Dir,
		Records: u.Queue,
		Every:   u.FlushIntervalS * second,
		Settings: ledger.Settings{Instance: instance,
			Period: u.PeriodMin * 60 * second,
			Slice:  u.SliceS * second,
			Grace:  u.GraceS * second,
			Keys:   u.Keys,
			Lines:  u.Lines},
	}
}

func (o *Operator) checkUsage(p *Platform) error {
	u := &o.Usage
	if u.Dir == "" {
		return nil
	}
	if period := u.PeriodMin * 60; period%u.SliceS != 0 || period/u.SliceS > 1440 {
		return o.document.Errorf(
			"usage.slice_s",
			"%d does not divide a period of %d s, or makes more than 1440 of it",
			u.SliceS,
			period,
		)
	}
	if strings.ContainsAny(p.Name, "/\x00") {
		return o.document.Errorf(
			"usage.dir",
			"the instance is named %q, which cannot be part of a file's name",
			p.Name,
		)
	}
	// A key is remembered, listed, and written; a line has its slices, and is copied to be written.
	need := u.Keys*400 + u.Lines*2*(300+8*int(u.PeriodMin*60/u.SliceS)) + u.Queue*64
	if need > p.MemoryMB<<20/8 {
		return o.document.Errorf(
			"usage",
			"keys, lines and queue of that size may need %d MB, over an eighth of memory_mb",
			need>>20,
		)
	}
	return o.resolveFolder("usage.dir", &u.Dir)
}
