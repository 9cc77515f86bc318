package compare

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strings"

	"ryepaddle/internal/simulator/fleet"
)

// The worker's protocol: one JSON value a line. It says hello first; then each task gets one reply.
type (
	hello struct {
		Model int `json:"model"`
	}
	task struct {
		Seed  uint64 `json:"seed"`
		Noise uint64 `json:"noise,omitempty"`
	}
	reply struct {
		Run   *fleet.Run `json:"run,omitempty"`
		Error string     `json:"error,omitempty"`
	}
)

// Serve answers tasks until there are no more: it is the worker's side.
func Serve(r io.Reader, w io.Writer, p Player) error {
	out := json.NewEncoder(w)
	if err := out.Encode(hello{fleet.Version}); err != nil {
		return err
	}
	in := json.NewDecoder(r)
	for {
		var t task
		if err := in.Decode(&t); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("compare: worker: %w", err)
		}
		var rep reply
		run, err := p.Play(context.Background(), t.Seed, t.Noise)
		if rep.Run = run; err != nil {
			rep = reply{Error: err.Error()}
		}
		if err := out.Encode(rep); err != nil {
			return err
		}
	}
}

// Version plays days in processes of another build of the simulator.
type Version struct {
	path string
	idle chan *process
	all  []*process
}

type process struct {
	cmd    *exec.Cmd
	in     io.WriteCloser
	out    *bufio.Reader
	stderr *bytes.Buffer
}

// StartVersion starts so many workers of a build. One whose model is another is refused: what
// differs would be the model, and not what is compared.
func StartVersion(path string, args []string, workers int) (*Version, error) {
	v := &Version{path: path, idle: make(chan *process, workers)}
	for range workers {
		p, err := startProcess(path, args)
		if err != nil {
			v.Close()
			return nil, err
		}
		v.all = append(v.all, p)
		v.idle <- p
	}
	return v, nil
}

func startProcess(path string, args []string) (*process, error) {
	p := &process{cmd: exec.Command(path, args...), stderr: &bytes.Buffer{}}
	p.cmd.Stderr = p.stderr
	var err error
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("compare: %s: %w", path, err)
	}
	p.out = bufio.NewReader(out)
	var h hello
	if err := p.read(&h); err != nil {
		return nil, fmt.Errorf("compare: %s is no worker of the lab: %w", path, p.why(err))
	}
	if h.Model != fleet.Version {
		p.stop()
		return nil, fmt.Errorf(
			"compare: %s plays version %d of the model, this is %d: their days are not alike",
			path,
			h.Model,
			fleet.Version,
		)
	}
	return p, nil
}

func (p *process) read(v any) error {
	line, err := p.out.ReadBytes('\n')
	if err != nil {
		return err
	}
	return json.Unmarshal(line, v)
}

// why ends the process and adds what it said.
func (p *process) why(err error) error {
	p.stop()
	if said := strings.TrimSpace(p.stderr.String()); said != "" {
		return fmt.Errorf("%w: %s", err, said)
	}
	return err
}

func (p *process) stop() {
	p.in.Close()
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// Play has a worker play a day.
func (v *Version) Play(ctx context.Context, seed, noise uint64) (*fleet.Run, error) {
	var p *process
	select {
	case p = <-v.idle:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { v.idle <- p }()
	end := context.AfterFunc(ctx, func() { p.cmd.Process.Kill() })
	defer end()
	if err := json.NewEncoder(p.in).Encode(task{seed, noise}); err != nil {
		return nil, fmt.Errorf("%s: %w", v.path, p.why(err))
	}
	var rep reply
	if err := p.read(&rep); err != nil {
		return nil, fmt.Errorf("%s: its worker ended: %w", v.path, p.why(err))
	}
	if rep.Error != "" {
		return nil, errors.New(rep.Error)
	}
	return rep.Run, nil
}

// Close ends the workers.
func (v *Version) Close() {
	for _, p := range v.all {
		p.stop()
	}
	v.all = nil
}
