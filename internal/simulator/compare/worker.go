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

// The protocol between a Version and its workers has one JSON value per line. A worker sends hello first;
// then it answers each task with a reply.
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

// Serve runs the worker's side of the protocol: it answers tasks until the end of the input.
func Serve(r io.Reader, w io.Writer, p Player) error {
	out := json.NewEncoder(w)
	if err := out.Encode(hello{fleet.Version}); err != nil {
		return err
	}
	in := json.NewDecoder(r)
	for {
		var t task
		if err := in.Decode(&t); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("compare: worker: reading a task: %w", err)
		}
		run, err := p.Play(context.Background(), t.Seed, t.Noise)
		answer := reply{Run: run}
		if err != nil {
			answer = reply{Error: err.Error()}
		}
		if err := out.Encode(answer); err != nil {
			return err
		}
	}
}

// Version simulates days in worker processes of another build of the simulator. Close ends the processes.
type Version struct {
	path string
	idle chan *process
	all  []*process
}

// process is a worker process.
type process struct {
	cmd    *exec.Cmd
	in     io.WriteCloser
	out    *bufio.Reader
	stderr *bytes.Buffer
}

// VersionError reports a build that has another version of the model, so that its days are not comparable.
type VersionError struct {
	Path  string
	Model int
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("compare: %s has version %d of the model, this build has %d: their days are not comparable",
		e.Path, e.Model, fleet.Version)
}

// StartVersion starts the given number of workers of a build. It returns a VersionError if the build has
// another version of the model.
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
		return nil, fmt.Errorf("compare: %s is not a simulator worker: %w", path, p.failure(err))
	}
	if h.Model != fleet.Version {
		p.stop()
		return nil, &VersionError{path, h.Model}
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

// failure stops the process and returns err with the process's error output.
func (p *process) failure(err error) error {
	p.stop()
	if output := strings.TrimSpace(p.stderr.String()); output != "" {
		return fmt.Errorf("%w: %s", err, output)
	}
	return err
}

func (p *process) stop() {
	// Errors are ignored: the process may have ended by itself, and otherwise ends with a signal.
	_ = p.in.Close()
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// Play implements Player. It waits for an idle worker, which simulates the day.
func (v *Version) Play(ctx context.Context, seed, noise uint64) (*fleet.Run, error) {
	var p *process
	select {
	case p = <-v.idle:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { v.idle <- p }()
	stop := context.AfterFunc(ctx, func() { _ = p.cmd.Process.Kill() }) // fails if the process has ended
	defer stop()
	if err := json.NewEncoder(p.in).Encode(task{seed, noise}); err != nil {
		return nil, fmt.Errorf("%s: sending a task to the worker: %w", v.path, p.failure(err))
	}
	var answer reply
	if err := p.read(&answer); err != nil {
		return nil, fmt.Errorf("%s: reading the worker's reply: %w", v.path, p.failure(err))
	}
	if answer.Error != "" {
		return nil, errors.New(answer.Error)
	}
	return answer.Run, nil
}

// Close ends all workers.
func (v *Version) Close() {
	for _, p := range v.all {
		p.stop()
	}
	v.all = nil
}
