package store

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	segmentPrefix   = "journal-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp" // of a snapshot that is still being written
	damagedSuffix   = ".bad" // of a damaged file that was renamed by a repair
	numberDigits    = 16     // digits of the number in a file name, with leading zeros
	lockName        = "lock"
	filePermissions = 0o600
)

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%0*d", segmentPrefix, numberDigits, number)
}
func snapshotName(number uint64) string {
	return fmt.Sprintf("%s%0*d", snapshotPrefix, numberDigits, number)
}

// numberOf returns the number in a file name with a prefix; false if the name has another form.
func numberOf(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != numberDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// listFiles returns the numbers of the segments and snapshots of a folder, in ascending order.
func listFiles(fsys FS) (segments, snapshots []uint64, err error) {
	names, err := fsys.List()
	if err != nil {
		return nil, nil, faultDisk.New("store: %w", err)
	}
	for _, name := range names {
		if number, ok := numberOf(name, segmentPrefix); ok {
			segments = append(segments, number)
		} else if number, ok := numberOf(name, snapshotPrefix); ok {
			snapshots = append(snapshots, number)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	return segments, snapshots, nil
}
