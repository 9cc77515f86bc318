package link

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/framing"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/replication"
	"ryepaddle/internal/peers/usagereplica"
)

const (
	magic = 0x52595031 // "RYP1"
	// maxFrameBytes is the maximum size of an encoded message. It has room for a MsgAppend with the record
	// of the largest result that is stored.
	maxFrameBytes = 2 << 20
	// formatVersion is the version that Hello carries. Newer versions add fields, which older ones
	// ignore.
	formatVersion = 1
)

// Hello is the first message on a connection and identifies its sender.
type Hello struct {
	Installation string `cbor:"1,keyasint"`
	Name         string `cbor:"2,keyasint"`
	Version      int    `cbor:"3,keyasint"`
}

// Frame is one message between runners. Exactly one of the pointers is set.
type Frame struct {
	Hello       *Hello                `cbor:"1,keyasint,omitempty"`
	Replication *replication.Message  `cbor:"2,keyasint,omitempty"`
	Consensus   *consensus.Message    `cbor:"3,keyasint,omitempty"`
	Usage       *usagereplica.Message `cbor:"4,keyasint,omitempty"`
	Health      *lease.HealthReport   `cbor:"7,keyasint,omitempty"`
	// To and From are the receiver and the sender of a message that goes through a relay. They are
	// empty on a direct message.
	To   string `cbor:"5,keyasint,omitempty"`
	From string `cbor:"6,keyasint,omitempty"`
}

// AppendFrame appends the encoding of a frame to b.
func AppendFrame(b []byte, f *Frame) ([]byte, error) {
	payload, err := cbor.Marshal(f)
	if err != nil {
		return b, kindLink.New("link: encode a message: %w", err)
	}
	if len(payload) > maxFrameBytes {
		return b, kindLink.New("link: message of %d bytes exceeds the limit of %d bytes", len(payload), maxFrameBytes)
	}
	return framing.Append(b, magic, payload), nil
}

// decoder decodes frames with bounds on nesting and on the sizes of arrays and maps.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 16, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// ReadFrame decodes the frame at the start of b and returns the number of bytes that it occupies. It
// returns a nil frame without an error if the frame is not complete yet.
func ReadFrame(b []byte) (f *Frame, used int, err error) {
	payload, used, err := framing.Next(b, magic, maxFrameBytes)
	if errors.Is(err, framing.ErrIncomplete) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, kindLink.New("link: %w", err)
	}
	f = &Frame{}
	if err := decoder.Unmarshal(payload, f); err != nil {
		return nil, 0, kindLink.New("link: decode a message: %w", err)
	}
	return f, used, nil
}
