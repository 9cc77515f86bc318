package main

import "github.com/alecthomas/kong"

// helpTexts are the texts of commands and flags that their tags name.
var helpTexts = kong.Vars{
	"serve":      "Run the program. This is what it does without a command.",
	"check":      "Read all that the program would be told, and say what is wrong with it.",
	"peers":      "Ask a running program how the copies of keys on its peers stand.",
	"status":     "Ask a running program how it and its servers stand.",
	"explain":    "Ask a running program what became of requests, and why.",
	"metrics":    "Ask a running program for its figures, in the OpenMetrics format.",
	"levels":     "Tell or set the levels of logging of a running program.",
	"drain":      "Have a running program answer what is open, and end.",
	"reload":     "Have a running program read its files again.",
	"store":      "Look at kept keys, and look after their files.",
	"inventory":  "Look at an inventory of servers.",
	"usage":      "Look at the account of what schools use, make bills of statements, correct it.",
	"route":      "Say where a request would go, by the operator's file.",
	"schema":     "Print the JSON schema of the operator's file.",
	"version":    "Tell which build this is.",
	"completion": "Print what has a shell complete commands, for its start-up file.",
	"flag_operator": "The operator's file: the second front, its servers, and all that the platform does not " +
		"say.",
	"flag_socket": "The control socket. By default that of the operator's file.",
	"flag_levels": "Such as upstream=debug; the area all is all that are not named. None: they are only " +
		"told.",
	"peers_status":    "Tell how copies stand. This is what peers does without a command.",
	"peers_key":       "Tell where the copies of one key are.",
	"peers_remove":    "Have a runner hold nothing any more, so that it can be stopped for good.",
	"peers_stay":      "Have a runner stay that was to be removed.",
	"peers_replace":   "Have a runner hold nothing any more, in whose place another one is there.",
	"store_inspect":   "List the keys that a folder holds. It may be in use.",
	"store_verify":    "Say whether a folder is whole, and if not, where. It may be in use.",
	"store_compact":   "Cut the journal of a folder that is not in use.",
	"store_copy":      "Write what a folder holds into another one, as a backup. It may be in use.",
	"inventory_check": "Say what an inventory means, or what is wrong with it, and where.",
	"usage_open":      "Ask a running program what it has counted and not yet told in a statement.",
	"usage_show":      "Show the account of a folder, which may be in use.",
	"usage_bill":      "Put statements of any instances together: what each school used, and what is missing.",
	"usage_correct":   "Have a running program correct its account.",
	"flag_id":         "The id of a request; those that repeat it are told as well.",
	"flag_end":        "That ended so: served, refused, failed, late, misused, foreign or ran.",
	"flag_from":       "Answered from then on, such as 2026-12-01T21:40:00Z.",
	"flag_against": "The list that holds: say what changes, and whether a running program takes it without a " +
		"HUP.",
	"flag_instances":     "Those of which statements are expected. By default those of which there are any.",
	"flag_correction_id": "Names the correction: given twice it is one, to whichever instance.",
	"flag_period":        "When the period began that it is about.",
}

// description is the help of the program.
const description = `runner takes requests over FastCGI and uwsgi, decides which to hold, run or turn away, ` +
	`and has them done.

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

Exit status: 0 done, 1 failed, 2 the command or a file that it was given is wrong.`

// Help implements kong.HelpProvider.
func (levelsCmd) Help() string {
	return `Areas are the first parts of the events' names (docs/on-call.md). What is set holds until the next ` +
		`start, or until a reload finds
other levels in the operator's file.

Examples:
  runner levels --operator deploy/operator.yaml
  runner levels all=warn request=debug --socket /run/ryepaddle/control.sock`
}

// Help implements kong.HelpProvider.
func (checkCmd) Help() string {
	return `What is wrong is told with file, line and field, and the exit status is 2. Nothing is started, and ` +
		`no file is written.

Examples:
  runner check --config example/config.json
  runner check --operator deploy/operator.yaml --json`
}

// Help implements kong.HelpProvider.
func (metricsCmd) Help() string {
	return `Latencies carry the id of a request as an exemplar, which explain takes.

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
	return `Of each request it is told when it came, what became of it, and why: the cause with what was ` +
		`compared, and each try with its server
and outcome (docs/explain.md lists the causes). Times are of the program's machine.

Examples:
  runner explain 00000000deadbeef --operator deploy/operator.yaml
  runner explain --class hand-in --not-served --from 2026-12-01T21:39:00Z --operator deploy/operator.yaml
  runner explain --cause "no server took it" --most 100 --json --socket /run/ryepaddle/control.sock`
}

// Help implements kong.HelpProvider.
func (peersRemoveCmd) Help() string {
	return `Its copies go to others by and by, none before another one is whole; "runner peers" tells how many ` +
		`slots it still holds. With none left, stop it and take
it out of all files. One that is lost already is forgotten.`
}

// Help implements kong.HelpProvider.
func (peersStatusCmd) Help() string {
	return `The exit status is 0 if all copies are made and new keys are taken, as far as the ` +
		`runner that is asked knows.

Examples:
  runner peers --operator deploy/operator.yaml
  until runner peers --socket /run/ryepaddle/control.sock; do sleep 1; done`
}

// Help implements kong.HelpProvider.
func (storeCmd) Help() string {
	return `Keys of hand-ins are kept where store.dir of the operator's file says. Files are never ` +
		`changed but by compact.

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
	return `The request is read as the second front reads one. Exit status 1: it would be refused.

Examples:
  runner route '/ops/exam?exercise=exam-1' --host north.example.org --operator deploy/operator.yaml ` +
		`--config platform.json
  runner route /ops/hand-in --var HTTP_X_DEDUPE_KEY=k1 --var HTTP_X_CUSTOMER=north --operator ` +
		`deploy/operator.yaml --json`
}

// Help implements kong.HelpProvider.
func (usageCmd) Help() string {
	return `What schools use is counted where usage.dir of the operator's file says, and given out as one ` +
		`statement for each period.

Examples:
  runner usage open --operator deploy/operator.yaml
  runner usage bill /mnt/statements/*.json --config platform.json --instances n0,n1 --csv > october.csv
  runner usage correct --id tkt-4711 --period 2026-12-01T21:00:00Z --school north --class hand-in ` +
		`--served -3 --why "load test" --socket /run/ryepaddle/control.sock`
}

// Help implements kong.HelpProvider.
func (usageBillCmd) Help() string {
	return `A statement counts once, however often it is there. Where some are missing, do not fit or say that ` +
		`requests were not counted, the
bill is made of the rest and the exit status is 1.`
}
