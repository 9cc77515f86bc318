package main

import (
	"encoding/binary"
	"io"
)

// readVariables reads the packet of a request.
func readVariables(in io.Reader) (map[string]string, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	packet := make([]byte, binary.LittleEndian.Uint16(head[1:]))
	if _, err := io.ReadFull(in, packet); err != nil {
		return nil, err
	}
	variables := map[string]string{}
	text := func() string {
		n := int(binary.LittleEndian.Uint16(packet))
		t := string(packet[2 : 2+n])
		packet = packet[2+n:]
		return t
	}
	for len(packet) > 0 {
		name := text()
		variables[name] = text()
	}
	return variables, nil
}
