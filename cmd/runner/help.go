package main

import "github.com/alecthomas/kong"

// helpTexts holds the help texts of commands and flags that struct tags name as ${name}.
var helpTexts = kong.Vars{
	"serve":      "Run the program. This is the default command.",
	"check":      "Read and check the configuration as the program would, and report what is wrong with it.",
	"peers":      "Show how a running program and its peers replicate keys, and remove or replace members.",
	"status":     "Show the state of a running program and its servers.",
	"explain":    "Show what became of requests to a running program, and why.",
	"metrics":    "Print the metrics of a running program, in the OpenMetrics format.",
	"levels":     "Show or set the log levels of a running program.",
	"drain":      "Have a running program answer its open requests, and then exit.",
	"reload":     "Have a running program read its configuration files again.",
	"store":      "Inspect stored idempotency keys, and maintain their files.",
	"inventory":  "Check an inventory of servers.",
	"usage":      "Show or correct the ledger of what schools (tenants) use, and make bills from usage statements.",
	"route":      "Show which route a request would take by the operator's file.",
	"schema":     "Print the JSON schema of the operator's file.",
	"version":    "Print the version of this build.",
	"completion": "Print the line for a shell's start-up file that enables completion of commands.",
	"flag_operator": "The operator's file: the uwsgi frontend, its servers, and all settings that the platform's " +
		"file does not have.",
	"flag_socket": "The control socket. The default is that of the operator's file.",
	"flag_levels": "Levels such as upstream=debug. The area all sets all areas that are not named. Without levels, " +
		"the levels in force are printed.",
	"peers_status":    "Show the state of replication. This is the default command of peers.",
	"peers_key":       "Show where the replicas of one key are.",
	"peers_remove":    "Move all slots of a runner to others, so that it can be stopped for good.",
	"peers_stay":      "Cancel the removal of a runner.",
	"peers_replace":   "Move all slots of a runner to others, after a check that its replacement is a member.",
	"store_inspect":   "List the keys that are stored in a folder, which may be in use.",
	"store_verify":    "Report whether files of a folder are damaged, and where. It may be in use.",
	"store_compact":   "Replace the journal of a folder by a snapshot. The folder must not be in use.",
	"store_copy":      "Copy the keys of a folder, which may be in use, to a new folder as a backup.",
	"inventory_check": "Print the servers of an inventory, or what is wrong with it, and where.",
	"usage_open":      "Show the usage that a running program has counted and not yet put into a statement.",
	"usage_show":      "Show the usage ledger in a folder, which may be in use.",
	"usage_bill":      "Make a bill from statements of any instances: what each school used, and what is missing.",
	"usage_correct":   "Correct the usage ledger of a running program.",
	"flag_id":         "The ID of a request. Requests that repeat it are shown as well.",
	"flag_end":        "Requests that ended this way: served, refused, failed, late, misused, foreign or ran.",
	"flag_from":       "Requests that were answered at this time or later, such as 2026-12-01T21:40:00Z.",
	"flag_against": "The inventory in force: show the changes from it, and whether a running program would apply " +
		"them without a HUP.",
	"flag_instances": "Instances whose statements are expected, in addition to those with any statement.",
	"flag_correction_id": "The ID of the correction. A correction that is sent twice, also to different " +
		"instances, counts once.",
	"flag_period": "The start of the period to correct.",
}

// description is the help of the program.
const description = `runner receives requests over FastCGI and uwsgi, decides which to queue, run or reject, ` +
	`and runs them on an engine or on uwsgi servers.

Examples:
  runner --operator deploy/operator.yaml
  runner check --operator deploy/operator.yaml
  runner explain --class hand-in --not-served --operator deploy/operator.yaml
  runner explain 00000000deadbeef --socket /run/ryepaddle/control.sock
  runner levels upstream=debug --socket /run/ryepaddle/control.sock
  runner inventory check new.csv --against inventory.csv
  runner store verify /var/lib/ryepaddle/keys
  runner usage bill /mnt/statements --config platform.json
  runner completion >> ~/.bashrc

Exit status: 0 success, 1 failure, 2 invalid command line, or a file that it names is invalid.`

// Help implements kong.HelpProvider.
func (levelsCmd) Help() string {
	return `Areas are the first parts of the events' names (docs/on-call.md). Levels stay in force until the next ` +
		`start, or until a reload finds
other levels in the operator's file.

Examples:
  runner levels --operator deploy/operator.yaml
  runner levels all=warn request=debug --socket /run/ryepaddle/control.sock`
}

// Help implements kong.HelpProvider.
func (checkCmd) Help() string {
	return `Errors are reported with file, line and field, and the exit status is 2. Nothing is started, and ` +
		`no file is written.

Examples:
  runner check --config example/config.json
  runner check --operator deploy/operator.yaml --json`
}

// Help implements kong.HelpProvider.
func (metricsCmd) Help() string {
	return `Latency histograms have the ID of a request as an exemplar, for use with explain.

Examples:
  runner metrics --operator deploy/operator.yaml > /var/lib/collector/ryepaddle.prom`
}

// Help implements kong.HelpProvider.
func (statusCmd) Help() string {
	return `Examples:
  runner status --operator deploy/operator.yaml
  runner status --every 2s --socket /run/ryepaddle/control.sock
  runner status --json --socket /run/ryepaddle/control.sock | jq '.servers[] | select(.state != "in service")'`
}

// Help implements kong.HelpProvider.
func (explainCmd) Help() string {
	return `For each request it shows when it arrived, what became of it, and why: the cause with the values ` +
		`that were compared, and each attempt with its
server and outcome (docs/explain.md lists the causes). Times are those of the program's machine.

Examples:
  runner explain 00000000deadbeef --operator deploy/operator.yaml
  runner explain --class hand-in --not-served --from 2026-12-01T21:39:00Z --operator deploy/operator.yaml
  runner explain --cause "no server took it" --most 100 --json --socket /run/ryepaddle/control.sock`
}

// Help implements kong.HelpProvider.
func (peersRemoveCmd) Help() string {
	return `A slot leaves the runner only when another runner has a complete replica; "runner peers" shows how ` +
		`many slots it still holds. When it holds none, stop it and
remove it from the operator's files of all runners. A runner that is lost already is removed from the table.`
}

// Help implements kong.HelpProvider.
func (peersStatusCmd) Help() string {
	return `The exit status is 0 if all replicas are complete and new keys are accepted, as far as the ` +
		`queried runner knows.

Examples:
  runner peers --operator deploy/operator.yaml
  until runner peers --socket /run/ryepaddle/control.sock; do sleep 1; done`
}

// Help implements kong.HelpProvider.
func (storeCmd) Help() string {
	return `Idempotency keys are stored in the folder store.dir of the operator's file. Only compact changes ` +
		`its files.

Examples:
  runner store inspect /var/lib/ryepaddle/keys --json
  runner store verify /var/lib/ryepaddle/keys || echo damaged
  runner store copy /var/lib/ryepaddle/keys /backup/keys-tuesday
  runner store compact /var/lib/ryepaddle/keys --repair`
}

// Help implements kong.HelpProvider.
func (inventoryCheckCmd) Help() string {
	return `Examples:
  runner inventory check inventory.yaml
  runner inventory check new.csv --against inventory.csv`
}

// Help implements kong.HelpProvider.
func (routeCmd) Help() string {
	return `The request is parsed as the uwsgi frontend does. Exit status 1: it would be rejected.

Examples:
  runner route '/ops/exam?exercise=exam-1' --host north.example.org --operator deploy/operator.yaml ` +
		`--config platform.json
  runner route /ops/hand-in --var HTTP_X_DEDUPE_KEY=k1 --var HTTP_X_CUSTOMER=north --operator ` +
		`deploy/operator.yaml --json`
}

// Help implements kong.HelpProvider.
func (usageCmd) Help() string {
	return `The ledger of what schools (tenants) use is in the folder usage.dir of the operator's file. The program ` +
		`writes one statement for each period.

Examples:
  runner usage open --operator deploy/operator.yaml
  runner usage bill /mnt/statements/*.json --config platform.json --instances n0,n1 --csv > october.csv
  runner usage correct --id tkt-4711 --period 2026-12-01T21:00:00Z --school north --class hand-in ` +
		`--served -3 --why "load test" --socket /run/ryepaddle/control.sock`
}

// Help implements kong.HelpProvider.
func (usageBillCmd) Help() string {
	return `A statement counts once, however many copies there are. If statements are missing, contradict others or ` +
		`report requests that were not
counted, the bill is made from the rest and the exit status is 1.`
}
