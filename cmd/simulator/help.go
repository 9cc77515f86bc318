package main

import (
	"fmt"
	"runtime"
	"strings"

	"github.com/alecthomas/kong"

	"ryepaddle/internal/simulator/cluster"
)

// description is the head of the help text.
const description = "simulator plays days of a fleet on a model: the real core and decision module of the " +
	"runner, in virtual time, on\n" + `modelled machines, behind modelled balancers. Only up, verify and
conform open sockets.

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

Exit status: 0 done, 1 failed, 2 the command or a file that it was given is wrong.`

// helpTexts returns the values of ${} in the tags of the commands: defaults, and texts of help that
// are too long for a tag.
func helpTexts() kong.Vars {
	return kong.Vars{
		"workers": fmt.Sprint(runtime.GOMAXPROCS(0)),
		"ways":    strings.Join(cluster.RoutingModes, ", "),
		"help_up": "Bring up a fleet of real runners with servers, send hand-ins, put faults between them, and " +
			"judge what callers saw.",
		"help_routes": "Compare two ways of routing to many uwsgi servers that are slow, cold, dead or cut off.",
		"help_verify": "Play a day on real runner processes, and say whether its figures lie in the model's " +
			"intervals.",
		"help_worker": "Play the days that are asked for on standard input, for a comparison of versions.",
		"help_side_a": "What B is compared with: a file of differences, a build of simulator, or - for this " +
			"build as it is.",
		"help_front": "The uwsgi front under examination: IP:PORT, or the path of a unix socket.",
		"help_server": "Where this suite's server listens; the front's inventory must lead both classes to it " +
			"alone.",
		"help_tenant":  "The variable that names the tenant, and one that is known.",
		"help_traffic": "Recorded traffic in place of the scenario's; given again for each runner's file.",
		"help_with": "A file of differences, for the real fleet and the model alike. Figures of the module and " +
			"limits of the core cannot be set on real runners.",
		"help_roam": "A repeat goes to another runner than the try before it; without copies that runs keys twice.",
		"help_logs": "Where the runners' files and folders stay; else they go with the fleet.",
	}
}
