package config

import (
	"path/filepath"
	"strings"

	"ryepaddle/internal/netaddr"
	"ryepaddle/internal/telemetry/logging"
)

// Control configures the control socket, which takes commands to a running program.
type Control struct {
	// Socket is the path of a Unix socket; empty: off.
	Socket string `yaml:"socket"`
	// ExplainKB is the memory in kB for the outcomes of recent requests; default 1024.
	ExplainKB int `yaml:"explain_kb"`
}

// Log configures the program's log.
type Log struct {
	// Format is "text" (the default) or "json".
	Format string `yaml:"format" jsonschema:"enum=text,enum=json"`
	// Levels holds the lowest level that is logged in each area, such as "all=info upstream=debug"; default
	// "all=info".
	Levels string `yaml:"levels"`
}

// Traces configures the file that spans of requests are written to.
type Traces struct {
	// File is the path of the file; empty: off.
	File string `yaml:"file"`
	// MaxMB is the largest size of the file in MB; default 64.
	MaxMB int64 `yaml:"max_mb"`
	// SampleRatio is the share of requests that are sampled if their callers make no sampling
	// decision; default 0.01.
	SampleRatio float64 `yaml:"share"`
	// MaxPerSecond is the most requests of one class and outcome whose spans are written per second;
	// default 100.
	MaxPerSecond int `yaml:"per_second"`
	// Queue is the most requests whose spans wait in memory to be written; default 1024.
	Queue int `yaml:"queue"`
}

// checkTraces resolves the path of the file, and checks that its folder exists.
func (o *Operator) checkTraces(*Platform) error {
	t := &o.Traces
	if t.File == "" {
		return nil
	}
	t.File = o.resolvePath(t.File)
	dir := filepath.Dir(t.File)
	return o.resolveFolder("traces.file", &dir)
}

// checkLog checks the format and the levels of the log.
func (o *Operator) checkLog(*Platform) error {
	if o.Log.Format != logging.FormatText && o.Log.Format != logging.FormatJSON {
		return o.document.Errorf("log.format", "%q is neither text nor json", o.Log.Format)
	}
	if _, err := logging.ParseLevels(strings.Fields(o.Log.Levels)); err != nil {
		return o.document.Errorf("log.levels", "%v", err)
	}
	return nil
}

// checkControl resolves and checks the path of the socket, and checks the memory for recent requests.
func (o *Operator) checkControl(p *Platform) error {
	c := &o.Control
	if c.Socket == "" {
		return nil
	}
	c.Socket = o.resolvePath(c.Socket)
	if _, err := netaddr.Parse("unix:" + c.Socket); err != nil {
		return o.document.Errorf("control.socket", "%v", err)
	}
	if maxKB := p.MemoryMB << 10 / 8; c.ExplainKB > maxKB {
		return o.document.Errorf(
			"control.explain_kb",
			"%d is over an eighth of memory_mb, %d",
			c.ExplainKB,
			maxKB,
		)
	}
	return nil
}

// TrafficRecording configures the recording of requests in files, for the simulator.
type TrafficRecording struct {
	// Dir is the folder of the recordings. Each start of the program creates a new file in it; empty:
	// off.
	Dir string `yaml:"dir"`
	// MaxMB is the largest size of one file in MB; default 64.
	MaxMB int `yaml:"max_mb"`
	// Queue is the most requests that wait in memory to be written; default 4096.
	Queue int `yaml:"queue"`
}

// checkTrafficRecording resolves the folder of the recordings, and checks that it exists.
func (o *Operator) checkTrafficRecording(*Platform) error {
	r := &o.TrafficRecording
	if r.Dir == "" {
		return nil
	}
	return o.resolveFolder("record.dir", &r.Dir)
}
