package main

// uwsgiScenarios test requests and servers of the uwsgi frontend.
var uwsgiScenarios = map[string]processScenario{
	"a cancelled check is cancelled at the server": {routesToServers, `
			caller send 1 /ops/quick-check
			one expect /ops/quick-check
			caller send cancel 1
			one expect cancelled`},
	"a server that falls short of its length has failed: a hand-in is not sent again": {routesToServers, `
			caller send 1 /ops/hand-in key=a
			one expect /ops/hand-in
			one send short half
			caller expect 1 502
			caller send 2 /ops/hand-in key=a
			caller expect 2 502
			balancer send 3 hand-in key=a
			balancer expect 3 500
			one expect nothing
			two expect nothing`},
	"a server that closes mid-answer has failed: a check is sent to another": {routesToServers, `
			caller send 1 /ops/quick-check body=code
			one expect /ops/quick-check code
			one send head
			two expect /ops/quick-check code
			two send 200 5/5
			caller expect 1 200 5/5
			one expect nothing`},
	"only a refused connection lets a hand-in go to another server": {routesToServers, `
			one close
			caller send 1 /ops/hand-in key=a
			two expect /ops/hand-in
			two send 200 graded
			caller expect 1 200 graded
			two close
			caller send 2 /ops/hand-in key=b
			caller expect 2 503 retry-after`},
	"deadlines and errors are mapped": {routesToServers, `
			caller send 1 /ops/quick-check
			one expect /ops/quick-check
			caller expect 1 504
			one expect cancelled
			caller send 2 /ops/quick-check
			one expect /ops/quick-check
			one send 404 none
			caller expect 2 404 none
			caller send 3 /ops/quick-check
			one expect /ops/quick-check
			one send 500 oops
			caller expect 3 502
			caller send 4 /alive
			caller expect 4 200`},
	"bad packets get a 4xx answer": {routesToServers, `
			caller send 1 /ops/none
			caller expect 1 404 no class at "/ops/none"
			caller send 2 /ops/quick-check HTTP_X_CUSTOMER=west
			caller expect 2 403 unknown tenant "west"
			caller send 3 /ops/hand-in
			caller expect 3 400 no HTTP_X_DEDUPE_KEY in a keyed class
			caller send 4 /ops/quick-check CONTENT_LENGTH=-1
			caller expect 4 400 bad CONTENT_LENGTH: "-1"
			caller send 5 /ops/hand-in key=a CONTENT_LENGTH=5000
			caller expect 5 413 uwsgi: body over its limit: 5000 bytes
			caller send raw 6 00ffff00
			caller expect 6 431 uwsgi: variables over their limit: 65535 bytes
			caller send raw 7 05000000
			caller expect 7 400 uwsgi: not a request packet: modifier 5
			caller send raw 8 000300000900aa
			caller expect 8 400 uwsgi: a variable is cut off
			caller send part 9 /ops/quick-check
			caller expect 9 408 request does not come
			one expect nothing`},
}

// reloadScenarios test changes of the configuration.
var reloadScenarios = map[string]processScenario{
	// A file with other classes was rejected, and requests of new classes failed until a restart.
	"classes are added and dropped while requests are open": {"", `
			balancer send 1 quick-check body=code
			engine expect RUN 1 quick-check code
			runner send HUP classes extra hand-in
			runner send HUP classes more extra full-check hand-in
			balancer send 2 extra
			engine expect RUN 2 extra
			balancer send 3 hand-in key=a body=code
			engine expect RUN 3 hand-in code
			balancer send 4 quick-check
			engine expect RUN 4 quick-check
			balancer send 5 more
			engine expect RUN 5 more
			engine send done 1 fine one
			balancer expect 1 200 one
			runner send HUP classes quick-check hand-in
			engine send done 2 fine two
			balancer expect 2 200 two
			engine send done 3 fine three
			balancer expect 3 200 three
			balancer send 6 hand-in key=a body=code
			balancer expect 6 200 three
			engine send done 4 fine four
			balancer expect 4 200 four
			engine send done 5 fine five
			balancer expect 5 200 five
			runner send HUP half
			balancer send 7 quick-check
			engine expect RUN 7 quick-check
			engine send done 7 fine seven
			balancer expect 7 200 seven
			engine expect nothing`},
	// A balancer that still sends requests of a removed class must not lose its connection with other
	// open requests.
	"a class that was dropped a while ago is failed by itself": {"", `
			runner send HUP classes full-check hand-in
			wait 5100ms
			balancer expect gone
			balancer send 1 full-check
			engine expect RUN 1 full-check
			balancer send 2 quick-check
			balancer expect 2 404 the class is not served any more
			balancer send 3 full-check
			engine expect RUN 3 full-check
			engine send done 3 fine three
			balancer expect 3 200 three
			engine send done 1 fine one
			balancer expect 1 200 one
			balancer send 4 never-was
			balancer expect 4 400 no class at "/ops/never-was"
			balancer expect gone`},
	"a changed inventory holds for new requests, a bad one does not": {routesToServers, `
			caller send 1 /ops/quick-check
			one expect /ops/quick-check
			runner send HUP two
			caller send 2 /ops/quick-check
			two expect /ops/quick-check
			one send 200 first
			caller expect 1 200 first
			two send 200 second
			caller expect 2 200 second
			runner send HUP one bad
			caller send 3 /ops/quick-check
			two expect /ops/quick-check
			two send 200 third
			caller expect 3 200 third
			one expect nothing`},
	// A HUP applied only the inventory: after engine and back end had moved, all runs and calls
	// of a day were lost.
	"a new configuration moves the links, and open requests continue": {"", `
			balancer send 1 hand-in key=a body=code
			engine expect RUN 1 hand-in code
			engine send need 1 insert
			backend expect call 1 insert
			runner send HUP half
			balancer send 2 full-check
			engine expect RUN 2 full-check
			runner send HUP move
			engine expect ATTACH 1
			engine send done 2 fine two
			balancer expect 2 200 two
			backend send 200 row
			engine expect FEED 1 row
			engine send need 1 update
			moved expect call 1 update
			moved send 200 row
			engine expect FEED 1 row
			engine send done 1 fine graded
			balancer expect 1 200 graded
			other send 3 hand-in key=a body=code
			other expect 3 200 graded
			runner send TERM
			runner send HUP move
			runner expect exit 0
			engine expect nothing
			backend expect nothing`},
}

// drainScenarios test graceful shutdowns.
var drainScenarios = map[string]processScenario{
	// A caller that connected and sent nothing delayed the drain until its timeout.
	"a silent caller does not hold up a drain": {"limits: {read_ms: 60000}\n" + routesToEngine, `
			caller send raw 1
			caller send 2 /alive
			caller expect 2 200
			runner send TERM
			runner expect exit 0
			caller expect 1 gone`},
	"a drain answers what was read on both fronts and runs nothing that is late": {routesToServers, `
			balancer send 1 full-check
			engine expect RUN 1 full-check
			caller send 2 /ops/hand-in key=a
			one expect /ops/hand-in
			caller send 3 /ops/quick-check
			runner send TERM
			engine send done 1 fine done
			balancer expect 1 200 done
			one send 200 graded
			caller expect 2 200 graded
			two expect /ops/quick-check
			two send 200 5/5
			caller expect 3 200 5/5
			caller send part 4 /ops/quick-check
			other send 5 full-check
			engine expect RUN 5 full-check
			caller expect 4 408 request does not come
			other expect 5 504
			other expect gone
			runner expect exit 0
			one expect nothing
			engine expect nothing`},
}
