package daytest

import "strings"

// maxReport is the largest report to the registry, in bytes.
const maxReport = 512

// receiveReports passes the runners' reports to the model of the registry until the socket closes.
func (h *harness) receiveReports() {
	buf := make([]byte, maxReport)
	for {
		n, err := h.registry.Read(buf)
		if err != nil {
			return
		}
		fields := strings.Fields(string(buf[:n]))
		if len(fields) != 3 || fields[0] != "HERE" {
			continue
		}
		h.loop.Deliver(func() {
			if incarnation := h.simulation.Incarnation(fields[1]); incarnation != nil {
				incarnation.Report()
			}
		})
	}
}
