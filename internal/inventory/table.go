package inventory

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"ryepaddle/internal/netaddr"
)

// table collects the servers of an inventory and keeps names and addresses unique.
type table struct {
	file      string // file that is being read, named in errors
	servers   []Server
	byName    map[string]int // indexes in servers
	byAddress map[netaddr.Addr]int
}

// newTable returns an empty table.
func newTable() *table {
	return &table{byName: map[string]int{}, byAddress: map[netaddr.Addr]int{}}
}

// serverRow holds the fields of a server as a file has them, not yet parsed.
type serverRow struct {
	name, address string
	groups        []string
	zone          string
	weight        string // empty: defaultWeight
	state         string // empty: enabled
}

// errorAt returns an *Error for a line of the file that is being read.
func (t *table) errorAt(line int, err error) error {
	return &Error{File: t.file, Line: line, Err: err}
}

// addRow checks and adds one server.
func (t *table) addRow(line int, row serverRow) error {
	s, err := parseRow(row)
	if err != nil {
		return t.errorAt(line, err)
	}
	s.Line = line
	if err := t.checkUnique(&s); err != nil {
		return t.errorAt(line, err)
	}
	t.byName[s.Name] = len(t.servers)
	t.byAddress[s.Addr] = len(t.servers)
	t.servers = append(t.servers, s)
	return nil
}

// parseRow parses the fields of a server.
func parseRow(row serverRow) (Server, error) {
	s := Server{Name: row.name, Groups: row.groups, Zone: row.zone, Weight: defaultWeight}
	if s.Name == "" {
		return Server{}, errors.New("the name of the server is empty")
	}
	var err error
	s.Addr, err = netaddr.Parse(row.address)
	if err != nil || !s.Addr.IsUnix() && s.Addr.IP.Port() == 0 {
		return Server{}, fmt.Errorf(
			"server %s: bad address %q: want IP:PORT or unix:PATH",
			s.Name,
			row.address,
		)
	}
	if row.weight != "" {
		s.Weight, err = strconv.Atoi(row.weight)
		if err != nil || s.Weight < 0 || s.Weight > maxWeight {
			return Server{}, fmt.Errorf(
				"server %s: bad weight %q: want 0 to %d",
				s.Name,
				row.weight,
				maxWeight,
			)
		}
	}
	switch strings.ToLower(row.state) {
	case "", "enabled", "up", "active", "true":
	case "disabled", "down", "maintenance", "inactive", "false":
		s.Weight = 0
	default:
		return Server{}, fmt.Errorf("server %s: bad state %q", s.Name, row.state)
	}
	return s, nil
}

// checkUnique returns an error if the name or the address of a server is already in the table. One
// process under two names would get twice its share, and could run a request with an idempotency
// key twice.
func (t *table) checkUnique(s *Server) error {
	if i, known := t.byName[s.Name]; known {
		other := &t.servers[i]
		if other.Zone != s.Zone {
			return fmt.Errorf("server %s is in hall %q, and in %q on line %d",
				s.Name, s.Zone, other.Zone, other.Line)
		}
		return fmt.Errorf("duplicate name %s, first on line %d", s.Name, other.Line)
	}
	if i, known := t.byAddress[s.Addr]; known {
		other := &t.servers[i]
		return fmt.Errorf("server %s has the address of %s on line %d", s.Name, other.Name, other.Line)
	}
	return nil
}
