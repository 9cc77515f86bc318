package cluster

import (
	"fmt"
	"hash/fnv"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/testing/daytest"
)

// requestTimeout is the deadline of each class: what is due is the harness's matter, not that of a
// machine which is busy with all of it.
const requestTimeout = 8 * time.Second

// config is the platform's file of a runner. There is room for all that is asked: what is refused
// is refused for a fault.
func (c *Cluster) config(n *Node) map[string]any {
	class := func(name string, effect admission.Idempotency, worth float64) admission.Class {
		return admission.Class{
			Name:              name,
			LatencyObjective:  time.Second,
			Timeout:           requestTimeout,
			IdempotencyWindow: c.opt.Window,
			Idempotency:       effect,
			PriorityWeight:    worth,
		}
	}
	set := admission.Settings{
		Classes: []admission.Class{
			class("quick-check", admission.Idempotent, 1),
			class("full-check", admission.Idempotent, 1),
			class("hand-in", admission.IdempotentWithKey, 3),
		},
		Tenants: []admission.Tenant{{Name: "north", QuotaRate: 1e6}},
		Servers: len(
			c.Nodes,
		), Callers: 1,
		Cores:                 400,
		MemoryKB:              1e8,
		RunningMemoryFactor:   8,
		KeyMemoryKB:           1,
		CallQuota:             1000,
		CallQuotaWindow:       5 * time.Second,
		AbandonedCallTime:     200 * time.Millisecond,
		CreditMode:            admission.CreditNone,
		IdleConnectionTimeout: 30 * time.Second,
		MaxRetryAfter:         time.Second,
		OverQuotaWeight:       0.05,
		DeadlineGrace:         60 * time.Millisecond,
		DrainGrace:            1800 * time.Millisecond,
		MaxRunningPerCore:     6,
		MaxRunningWindow:      2 * time.Second,
		WarmUpInitialShare:    1,
		WarmUpTime:            time.Second}
	seed := fnv.New64a()
	seed.Write([]byte(n.Name + c.opt.Dir)) // a hash takes all
	return map[string]any{"name": n.Name, "listen": "127.0.0.1:0", "engine": "", "backend": "", "roster": "",
		"seed": fmt.Sprintf(
			"%016x",
			seed.Sum64(),
		), "stop_ms": c.opt.Timeout.Milliseconds(),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 4096},
		"settings": daytest.Settings(&set)}
}
