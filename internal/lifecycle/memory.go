package lifecycle

import (
	"time"

	"ryepaddle/internal/admission"
)

// Memory that a request takes beside its body and the texts of its fields, in bytes.
const (
	requestOverhead = 1 << 10 // its records here, in the admission controller and in a frontend
	fieldOverhead   = 48      // the headers and the rounding of the two texts of a field
)

// heldBytes estimates the memory that a request takes while it is in the table. The size that the request states
// for itself is a claim of its caller about the machine, and not about this process.
func heldBytes(q *Request) int {
	n := requestOverhead + len(q.Body)
	for _, field := range q.Metadata {
		n += fieldOverhead + len(field.Name) + len(field.Value)
	}
	return n
}

// memoryRetryAfter is the Retry-After of requests that are rejected as others take too much memory.
const memoryRetryAfter = 100 * time.Millisecond

// SetMaxRequestBytes sets how much memory the requests in the table may take, as HeldBytes estimates it; 0: no
// bound. Requests that are held stay.
func (m *Manager) SetMaxRequestBytes(n int) { m.maxHeldBytes = n }

// SetKeyLimits changes the bounds of the table of idempotency keys. What the table holds stays; while it holds more,
// no new keys are accepted.
func (m *Manager) SetKeyLimits(limits KeyLimits) { m.keys.limits = limits.orDefault() }

// dropContent releases the body and the fields of a request that duplicates another one and is never run.
func (m *Manager) dropContent(r *request) {
	r.Body = nil
	r.Metadata = nil
	m.heldBytes -= r.heldBytes
	r.heldBytes = heldBytes(r.Request)
	m.heldBytes += r.heldBytes
}

// rejectForMemory rejects a request for which there is no memory, and reports whether it did. The request is
// counted in heldBytes.
func (m *Manager) rejectForMemory(r *request) bool {
	if m.maxHeldBytes <= 0 || m.heldBytes <= m.maxHeldBytes {
		return false
	}
	r.trace.setComparison(CauseRequestMemory, float64(m.heldBytes), float64(m.maxHeldBytes))
	m.reject(r, "the requests that are held take too much memory", memoryRetryAfter)
	return true
}

// AdmissionMemory returns the memory that the admission controller accounts for.
func (m *Manager) AdmissionMemory() admission.MemoryUse { return m.admission.controller.MemoryUse() }

// HeldBytes returns the memory that the requests in the table take, as an estimate in bytes.
func (m *Manager) HeldBytes() int { return m.heldBytes }
