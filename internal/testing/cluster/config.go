package cluster

import (
	"fmt"
	"hash/fnv"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/testing/daytest"
)

// requestTimeout is the deadline of each class. It is long because the many processes may keep the
// machine busy.
const requestTimeout = 8 * time.Second

// runnerLimits are the limits of each runner.
var runnerLimits = daytest.PlatformLimits{Cores: 1, MemoryMB: 192, Sockets: 4096}

// config returns the platform's file of a runner.
func (c *Cluster) config(n *Node) daytest.PlatformConfig {
	settings := c.settings()
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(n.Name + c.opt.Dir)) // a hash never returns an error
	return daytest.PlatformConfig{
		Name:     n.Name,
		Listen:   "127.0.0.1:0",
		Seed:     fmt.Sprintf("%016x", seed.Sum64()),
		StopMs:   float64(c.opt.Timeout.Milliseconds()),
		Limits:   runnerLimits,
		Settings: daytest.Settings(&settings),
	}
}

// settings are the settings of all runners. They leave room for all requests, so that a request is
// refused only because of a fault.
func (c *Cluster) settings() admission.Settings {
	return admission.Settings{
		Classes: []admission.Class{
			c.class("quick-check", admission.Idempotent, 1),
			c.class("full-check", admission.Idempotent, 1),
			c.class(keyedClass, admission.IdempotentWithKey, 3),
		},
		Tenants:               []admission.Tenant{{Name: tenantName, QuotaRate: 1e6}},
		Servers:               len(c.Nodes),
		Callers:               1,
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
		WarmUpTime:            time.Second,
	}
}

// class returns the settings of a class.
func (c *Cluster) class(name string, idempotency admission.Idempotency, weight float64) admission.Class {
	return admission.Class{
		Name:              name,
		LatencyObjective:  time.Second,
		Timeout:           requestTimeout,
		IdempotencyWindow: c.opt.Window,
		Idempotency:       idempotency,
		PriorityWeight:    weight,
	}
}
