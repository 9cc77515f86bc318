package store

import "encoding/binary"

// A file begins with a header: a magic text, the format version and the number of the file.
const (
	headerSize   = 20
	formatOffset = 8
	numberOffset = 12
	// Format is the format version of the files that are written. Files with a newer version are
	// rejected; fields that files with an older version lack are zero.
	Format = 1
)

var fileMagic = [8]byte{'r', 'y', 'e', 's', 't', 'o', 'r', 'e'}

// appendHeader appends the header of the file with the given number.
func appendHeader(b []byte, number uint64) []byte {
	b = append(b, fileMagic[:]...)
	b = binary.LittleEndian.AppendUint32(b, Format)
	return binary.LittleEndian.AppendUint64(b, number)
}

// readHeader checks the header of the file with the given number.
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
