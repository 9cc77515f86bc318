package store

import "encoding/binary"

// A file begins with a header: a magic text, the format and the number of the file.
const (
	headerSize   = 20
	formatOffset = 8
	numberOffset = 12
	// Format is the format of the files that are written. Newer ones are rejected; fields that
	// older ones lack are zero.
	Format = 1
)

var fileMagic = [8]byte{'r', 'y', 'e', 's', 't', 'o', 'r', 'e'}

// appendHeader appends the header of the file of that number.
func appendHeader(b []byte, number uint64) []byte {
	b = append(b, fileMagic[:]...)
	b = binary.LittleEndian.AppendUint32(b, Format)
	return binary.LittleEndian.AppendUint64(b, number)
}

// readHeader checks the header of a file.
func readHeader(name string, b []byte, number uint64) error {
	if len(b) < headerSize {
		return errTruncated
	}
	if [8]byte(b) != fileMagic {
		return errCorrupt
	}
	if format := binary.LittleEndian.Uint32(b[formatOffset:]); format > Format {
		return &FormatError{name, int(format)}
	}
	if binary.LittleEndian.Uint64(b[numberOffset:]) != number {
		return errCorrupt
	}
	return nil
}
