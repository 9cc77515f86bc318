// Package buildinfo tells the version of the running program.
package buildinfo

import "runtime/debug"

// Version returns the commit that the program was built from, the version of its module if the commit is
// not known, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	name := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			name = s.Value
		}
	}
	return name
}
