package control

import (
	"bufio"
	"encoding/json"
	"net"
	"ryepaddle/internal/fault"
	"time"
)

// Command asks a running program, and reads the answer into v.
func Ask(path string, q Request, within time.Duration, v any) error {
	c, err := net.DialTimeout("unix", path, within)
	if err != nil {
		return unreachableKind.New("control: %w", err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(within)); err != nil {
		return unreachableKind.New("control: %w", err)
	}
	text, err := json.Marshal(q)
	if err != nil {
		return unreachableKind.New("control: %w", err)
	}
	if _, err := c.Write(append(text, '\n')); err != nil {
		return unreachableKind.New("control: %w", err)
	}
	line, err := bufio.NewReaderSize(c, 64<<10).ReadBytes('\n')
	if err != nil {
		return unreachableKind.New("control: no answer: %w", err)
	}
	var r struct {
		OK    json.RawMessage `json:"ok"`
		Error string          `json:"error"`
		Kind  string          `json:"kind"`
		Do    string          `json:"do"`
	}
	if err := json.Unmarshal(line, &r); err != nil {
		return unreachableKind.New("control: %w", err)
	}
	if r.Error != "" {
		kind := rejectedKind
		if r.Kind != "" {
			kind = &fault.Kind{Name: r.Kind, Remedy: r.Do}
		}
		return kind.New("%s", r.Error)
	}
	if v == nil || len(r.OK) == 0 {
		return nil
	}
	return json.Unmarshal(r.OK, v)
}
