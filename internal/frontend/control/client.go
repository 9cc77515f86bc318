package control

import (
	"bufio"
	"encoding/json"
	"net"
	"time"

	"ryepaddle/internal/fault"
)

// lineBufferBytes is the size of the read buffer for a reply. Longer replies are read in parts.
const lineBufferBytes = 64 << 10

// Ask sends a request to the program that listens on the socket at path, and decodes its reply into
// v, which may be nil. An error has a kind, unless the reply does not fit v; if the program rejected
// the request, it is the kind that the reply states.
func Ask(path string, request Request, timeout time.Duration, v any) error {
	c, err := net.DialTimeout("unix", path, timeout)
	if err != nil {
		return unreachableKind.New("control: %w", err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return unreachableKind.New("control: %w", err)
	}
	text, err := json.Marshal(request)
	if err != nil {
		return unreachableKind.New("control: %w", err)
	}
	if _, err := c.Write(append(text, '\n')); err != nil {
		return unreachableKind.New("control: %w", err)
	}
	line, err := bufio.NewReaderSize(c, lineBufferBytes).ReadBytes('\n')
	if err != nil {
		return unreachableKind.New("control: no reply: %w", err)
	}
	return decodeReply(line, v)
}

// decodeReply decodes a reply line into v, or returns the error that the reply states.
func decodeReply(line []byte, v any) error {
	var r struct {
		OK     json.RawMessage `json:"ok"`
		Error  string          `json:"error"`
		Kind   string          `json:"kind"`
		Remedy string          `json:"do"`
	}
	if err := json.Unmarshal(line, &r); err != nil {
		return unreachableKind.New("control: %w", err)
	}
	if r.Error != "" {
		kind := rejectedKind
		if r.Kind != "" {
			kind = &fault.Kind{Name: r.Kind, Remedy: r.Remedy}
		}
		return kind.New("%s", r.Error)
	}
	if v == nil || len(r.OK) == 0 {
		return nil
	}
	return json.Unmarshal(r.OK, v)
}
