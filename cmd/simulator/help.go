package main

import (
	"fmt"
	"runtime"
	"strings"

	"github.com/alecthomas/kong"

	"ryepaddle/internal/simulator/cluster"
)

// description is the head of the help text.
const description = "simulator simulates days of a fleet: the runner's own request lifecycle and admission module " +
	"run in virtual time, on\n" + `modelled machines and behind modelled balancers. Only up, verify and conform
open sockets.

Examples:
  simulator up
  simulator up --fault "2s kill n2 --back 1s" --fault "4s cut n1 s1 2s" --fault "5s stop n3 2s"
  simulator run sunday --days 4
  simulator run example/lab/tuesday.yaml --seed 7 --json
  simulator run sunday --traffic n1-1764576000.traffic --rate 1.2
  simulator compare - example/lab/tight.yaml --day sunday --out results/tight
  simulator compare bin/simulator-old bin/simulator --day crawl
  simulator routes dead-fifth slow-fifth --count 16 --out results/routes
  simulator verify small --bin bin/runner

Exit status: 0 success, 1 failure, 2 an error in the command line or in a file that it names.`

// helpTexts returns the values of ${} in the tags of the commands: defaults, and help texts that are too long
// for a tag.
func helpTexts() kong.Vars {
	return kong.Vars{
		"workers": fmt.Sprint(runtime.GOMAXPROCS(0)),
		"ways":    strings.Join(cluster.RoutingModes, ", "),
		"help_up": "Start a fleet of real runners and servers, send keyed requests, inject faults, and check the " +
			"outcomes that callers saw.",
		"help_routes": "Compare two ways of routing requests to many uwsgi servers, some slow, cold, dead or cut off.",
		"help_verify": "Play a day on real runner processes, and report whether its figures lie in the model's " +
			"prediction intervals.",
		"help_worker": "Simulate the days that tasks on standard input ask for, as a worker of a comparison.",
		"help_side_a": "What B is compared with: a file of differences, a build of the simulator, or - for this " +
			"build without differences.",
		"help_front": "Address of the uwsgi frontend to test: IP:PORT, or the path of a unix socket.",
		"help_server": "Address at which the suite's server listens; the frontend's inventory must route both " +
			"classes to this server only.",
		"help_tenant":  "The variable that names the tenant, and the name of a tenant that the frontend knows.",
		"help_traffic": "Recorded traffic that replaces the scenario's; repeat the flag for each runner's file.",
		"help_with": "A file of differences, for both the real fleet and the model. Figures of the admission module " +
			"and limits of the key table cannot be set on real runners.",
		"help_roam": "Send each repeat to another runner than the last attempt; without --copies, keys run twice.",
		"help_logs": "Folder in which the runners' files are kept; without it they are deleted with the fleet.",
	}
}
