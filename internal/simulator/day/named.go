package day

import (
	"embed"
	"fmt"
	"os"
	"path"
	"strings"
)

//go:embed scenarios/*.yaml
var scenarios embed.FS

// Names returns the names of the built-in scenarios.
func Names() (names []string) {
	entries, err := scenarios.ReadDir("scenarios")
	if err != nil {
		panic(err) // impossible: the scenarios are embedded in the program
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".yaml"))
	}
	return names
}

// Read reads and parses a scenario, given by the name of a built-in one or by the path of a file. It also
// returns the text.
func Read(name string) (*Spec, []byte, error) {
	text, err := scenarios.ReadFile(path.Join("scenarios", name+".yaml"))
	if err != nil {
		if text, err = os.ReadFile(name); err != nil {
			return nil, nil, fmt.Errorf(
				"day: the scenario is neither built in (%s) nor a readable file: %w",
				strings.Join(Names(), ", "),
				err,
			)
		}
	}
	s, err := Parse(name, text)
	return s, text, err
}
