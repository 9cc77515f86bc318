package usagereplica

import (
	"fmt"
	"strings"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
)

// run runs one step of a process.
func (c *cluster) run(r *runner) {
	c.learnTable(r)
	c.recordUses(r)
	if c.random.IntN(20) == 0 {
		r.savedLedger = r.ledger.Encode(0)
	}
	c.exportStatements(r)
	if c.broken.dropAtOnce {
		for name := range r.primary.former {
			r.primary.send(Message{Type: MsgDrop, To: name})
		}
	}
	r.primary.Flush(c.now)
	r.primary.Tick(c.now)
	r.replica.Tick(c.now)
	for _, s := range r.replica.TakeStatements() {
		r.files[s.FileName()] = s.Statement
		r.statements.AddReplicated(&s)
	}
	if !c.broken.keepStatements {
		r.statements.Tick(c.now)
	}
	c.send(r.statements.TakeMessages())
	c.send(r.primary.TakeMessages())
	c.send(r.replica.TakeMessages())
}

// learnTable sometimes applies one of the three newest tables to a process.
func (c *cluster) learnTable(r *runner) {
	if c.random.IntN(10) != 0 {
		return
	}
	newest := len(c.tables) - 1
	t := c.tables[newest-min(c.random.IntN(3), newest)]
	if r.table != nil && t.Version <= r.table.Version {
		return
	}
	r.table = t
	r.primary.SetTable(t, c.now)
	r.replica.SetTable(t, r.incarnation, c.now)
	r.statements.SetTable(t, r.incarnation)
}

// recordUses randomly adds a use or a lost use to the ledger, and seals periods that have ended.
func (c *cluster) recordUses(r *runner) {
	if c.random.IntN(4) == 0 {
		c.lastKey++
		record := ledger.Record{
			AnsweredAt:   c.unix(),
			Tenant:       r.ledger.Incarnation(),
			Class:        "hand-in",
			Outcome:      ledger.OutcomeServed,
			Key:          c.lastKey,
			KeyExpiresAt: c.unix().Add(20 * second),
			Work:         7,
		}
		r.ledger.Add(record)
		r.uses = append(r.uses, r.primary.Append(Operation{Use: &record}))
		c.counted[r.ledger.Incarnation()]++
	}
	if c.random.IntN(500) == 0 {
		r.ledger.AddLost(1)
		r.primary.Append(Operation{LostUses: 1})
	}
	if s := r.ledger.Seal(c.unix()); s != nil {
		r.seals[s.Seq] = r.primary.Append(Operation{SealDigest: s.Digest(), At: c.unix()})
	}
}

// exportStatements exports the statements whose seals are replicated. About half of them are collected
// from the folder at once.
func (c *cluster) exportStatements(r *runner) {
	for {
		s, _ := r.ledger.NextStatement()
		if s == nil || r.seals[s.Seq] > r.primary.ReplicatedSeq() && !c.broken.exportAtOnce {
			return
		}
		r.files[s.FileName()] = s
		r.statements.AddOwn(s.FileName())
		r.ledger.MarkExported(s)
		r.savedLedger = r.ledger.Encode(0)
		if c.random.IntN(2) == 0 {
			c.collected[s.FileName()] = s
			delete(r.files, s.FileName())
		}
	}
}

// allStatements returns all statements at the end of a simulation, after finishing the ledgers of all
// runners.
func (c *cluster) allStatements() (all []*ledger.Statement) {
	c.t.Helper()
	for _, s := range c.collected {
		all = append(all, s)
	}
	for _, r := range c.runners {
		if r.up {
			c.noteReplicated(r)
			r.finish(r.ledger)
		} else if r.savedLedger != nil {
			c.finishSaved(r)
		}
		for _, s := range r.files {
			all = append(all, s)
		}
	}
	return all
}

// onlyFirstFinal returns the statements without those final ones that follow a final statement of the
// same ledger and number.
func onlyFirstFinal(all []*ledger.Statement) (rest []*ledger.Statement) {
	seen := map[string]bool{}
	for _, s := range all {
		name := fmt.Sprint(s.Incarnation, s.Seq)
		if s.Final && seen[name] {
			continue
		}
		seen[name] = seen[name] || s.Final
		rest = append(rest, s)
	}
	return rest
}

// checkBill bills all statements. For each ledger, the billed uses must be at least the replicated ones
// and at most the counted ones, and no use may be billed twice.
func (c *cluster) checkBill() (result string, ok bool) {
	c.t.Helper()
	statements := c.allStatements()
	if c.broken.firstFinalCounts {
		statements = onlyFirstFinal(statements)
	}
	bill, err := ledger.Reconcile(statements, ledger.BillingTerms{})
	if err != nil {
		return err.Error(), false
	}
	for _, p := range bill.Problems {
		if !strings.Contains(p.Description, "were lost") && !strings.Contains(p.Description, "does not list") {
			return p.String(), false
		}
	}
	if bill.DeduplicatedRuns > 0 {
		return fmt.Sprint(bill.DeduplicatedRuns, " runs are in two ledgers"), false
	}
	served := map[string]int{}
	for _, l := range bill.Lines {
		served[l.Tenant] += int(l.Served)
	}
	billed, replicated, counted := 0, 0, 0
	for name, n := range c.counted {
		if served[name] > n || served[name] < c.replicated[name] {
			return fmt.Sprintf(
				"ledger %s: %d uses are billed, want at least %d (replicated) and at most %d (counted)",
				name, served[name], c.replicated[name], n,
			), false
		}
		billed, replicated, counted = billed+served[name], replicated+c.replicated[name], counted+n
	}
	return fmt.Sprint(billed, " billed, ", replicated, " replicated, ", counted, " counted"), true
}

// settle runs steps until each runner's ledger and statements are replicated and the ledgers of lost
// processes are finished, so that no two losses overlap. Operations of the last steps may still be in
// flight.
func (c *cluster) settle() {
	const minSteps, maxSteps = 10, 3000
	for n := 0; ; n++ {
		if c.isSettled() && n > minSteps || n > maxSteps {
			return
		}
		c.step()
	}
}

func (c *cluster) isSettled() bool {
	for _, r := range c.runners {
		if !r.up {
			continue
		}
		if r.table != c.table() || !r.primary.FullyReplicated() || r.replica.OrphanedLedgers() > 0 {
			return false
		}
		if r.statements.Unreplicated() > 0 && !c.broken.keepStatements {
			return false
		}
	}
	return true
}

// interrupt declares a runner lost while its process continues, and lets it join again later.
func (c *cluster) interrupt(r *runner) {
	c.declareLost(r)
	c.steps(c.random.IntN(900))
	r.incarnation += 1000
	member := placement.Member{
		Name:        r.name,
		Incarnation: r.incarnation,
		Process:     r.process,
		KeepsUsage:  true,
	}
	c.apply(placement.Change{Kind: placement.ChangeJoin, Member: member})
}
