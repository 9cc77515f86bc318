package config

import (
	"path/filepath"
	"strings"

	"ryepaddle/internal/netaddr"
	"ryepaddle/internal/telemetry/logging"
)

// Control is how a running program can be asked.
type Control struct {
	Socket    string `yaml:"socket"`     // path of a unix socket; empty: it cannot
	ExplainKB int    `yaml:"explain_kb"` // memory for what became of recent requests
}

// Log is what is told of the running program, and how.
type Log struct {
	Format string `yaml:"format" jsonschema:"enum=text,enum=json"`
	Levels string `yaml:"levels"` // such as "all=info upstream=debug"
}

// Traces turns the writing of spans on.
type Traces struct {
	File  string `yaml:"file"` // empty: none are written
	MaxMB int64  `yaml:"max_mb"`
	// of the requests whose callers do not say whether they are traced
	SampleRatio  float64 `yaml:"share"`
	MaxPerSecond int     `yaml:"per_second"` // requests of a class and an end
	Queue        int     `yaml:"queue"`      // requests in memory whose spans are not yet written
}

func (o *Operator) checkTraces(*Platform) error {
	t := &o.Traces
	if t.File == "" {
		return nil
	}
	if !filepath.IsAbs(t.File) {
		t.File = filepath.Join(filepath.Dir(o.file), t.File)
	}
	dir := filepath.Dir(t.File)
	return o.resolveFolder("traces.file", &dir)
}

func (o *Operator) checkLog(*Platform) error {
	if o.Log.Format != logging.FormatText && o.Log.Format != logging.FormatJSON {
		return o.document.Errorf("log.format", "%q is neither text nor json", o.Log.Format)
	}
	if _, err := logging.ParseLevels(strings.Fields(o.Log.Levels)); err != nil {
		return o.document.Errorf("log.levels", "%v", err)
	}
	return nil
}

func (o *Operator) checkControl(p *Platform) error {
	c := &o.Control
	if c.Socket == "" {
		return nil
	}
	if !filepath.IsAbs(c.Socket) {
		c.Socket = filepath.Join(filepath.Dir(o.file), c.Socket)
	}
	if _, err := netaddr.Parse("unix:" + c.Socket); err != nil {
		return o.document.Errorf("control.socket", "%v", err)
	}
	if c.ExplainKB > p.MemoryMB<<10/8 {
		return o.document.Errorf(
			"control.explain_kb",
			"%d is over an eighth of memory_mb, %d",
			c.ExplainKB,
			p.MemoryMB<<10/8,
		)
	}
	return nil
}

// TrafficRecording turns the recording of traffic on, for the simulator.
type TrafficRecording struct {
	Dir   string `yaml:"dir"` // where a new file is begun at each start; empty: off
	MaxMB int    `yaml:"max_mb"`
	Queue int    `yaml:"queue"` // requests in memory that are not yet written
}

func (o *Operator) checkTrafficRecording(*Platform) error {
	r := &o.TrafficRecording
	if r.Dir == "" {
		return nil
	}
	return o.resolveFolder("record.dir", &r.Dir)
}
