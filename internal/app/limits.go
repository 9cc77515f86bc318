package app

import (
	"runtime/debug"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/config"
	"ryepaddle/internal/lifecycle"
)

// onProcessesChanged is called when the number of other processes of this runner changes.
func (p *Program) onProcessesChanged(others int) {
	p.keys.processes = others + 1
	p.applyLimits()
}

// applyLimits applies this process's share of the limits, which the processes of a runner divide
// equally.
func (p *Program) applyLimits() {
	p.applyMemoryLimits()
	p.applyDescriptorLimits()
	// No error is expected: the settings in force were accepted before, and only numbers differ.
	if _, err := p.requests.Configure(p.processShare(p.config.Settings)); err != nil {
		eventReloadRejected.Log(err)
	}
}

// applyDescriptorLimits applies the limits of connections that follow from the descriptors of this
// process.
func (p *Program) applyDescriptorLimits() {
	shares := shareDescriptors(p.config, p.operator)
	p.platform.frontend.SetMaxConnections(shares.balancers / p.keys.processes)
	p.platform.backend.SetMaxConnections(max(shares.backend/p.keys.processes, minBackendDescriptors))
}

// processShare returns the settings with the limits reduced to this process's share.
func (p *Program) processShare(s admission.Settings) admission.Settings {
	n := float64(p.keys.processes)
	s.MemoryKB /= n
	s.CallQuota /= n
	s.MaxRunningPerCore = max(s.MaxRunningPerCore/n, 1)
	return s
}

// heapDivisor is the factor by which the memory limit of the Go runtime is below the platform's. The
// rest is left for what the runtime does not count, such as the buffers of sockets.
const heapDivisor = 2

// requestMemoryDivisor is the factor by which the memory of the requests that are held is below the platform's
// limit. It leaves room for garbage, results and the buffers of connections in the part that is for the heap.
const requestMemoryDivisor = 8

// Memory of remembered keys.
const (
	// resultMemoryDivisor is the factor by which the memory of remembered results is below the platform's limit.
	resultMemoryDivisor = 4
	// bytesPerKey is the part of the platform's limit that each remembered key has, beside its result.
	bytesPerKey = 4 << 10
)

// applyMemoryLimits applies this process's share of the memory.
func (p *Program) applyMemoryLimits() {
	limitMemory(p.config, p.keys.processes)
	share := p.config.MemoryMB << 20 / p.keys.processes
	p.requests.SetMaxRequestBytes(share / requestMemoryDivisor)
	p.requests.SetKeyLimits(lifecycle.KeyLimits{
		Keys:        min(lifecycle.DefaultMaxKeys, share/bytesPerKey),
		ResultBytes: min(lifecycle.DefaultMaxResultBytes, share/resultMemoryDivisor),
	})
}

// limitMemory sets the memory limit of the Go runtime for one of the processes of a runner.
func limitMemory(c *config.Platform, processes int) {
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 / heapDivisor / int64(processes))
}
