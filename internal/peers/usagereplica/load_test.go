package usagereplica

import (
	"fmt"
	"strings"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
)

// run has a process do its work of one step.
func (c *cluster) run(r *runner) {
	c.learnTable(r)
	c.use(r)
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

// learnTable has a process learn one of the newest tables from time to time.
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

// use has a process count a use, lose one or seal a period.
func (c *cluster) use(r *runner) {
	if c.random.IntN(4) == 0 {
		c.lastKey++
		record := ledger.Record{
			AnsweredAt:   c.unix(),
			School:       r.ledger.Incarnation(),
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

// exportStatements exports the statements whose seals are replicated. Somebody collects some of them
// at once.
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

// allStatements returns all statements that are there in the end; the ledgers of runners that are up
// are finished for that.
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

// onlyFirstFinal returns the statements without the final ones that come after another of the same
// number.
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

// checkBill bills all statements, and checks that each ledger is billed for at least the uses that
// anybody may rely on, at most for those that were counted, and for none twice.
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
		return fmt.Sprint(bill.DeduplicatedRuns, " are in two ledgers"), false
	}
	served := map[string]int{}
	for _, l := range bill.Lines {
		served[l.School] += int(l.Served)
	}
	billed, replicated, counted := 0, 0, 0
	for name, n := range c.counted {
		if served[name] > n || served[name] < c.replicated[name] {
			return fmt.Sprintf(
				"%s: %d are billed of %d that are replicated and %d that were counted",
				name, served[name], c.replicated[name], n,
			), false
		}
		billed, replicated, counted = billed+served[name], replicated+c.replicated[name], counted+n
	}
	return fmt.Sprint(billed, " billed, ", replicated, " replicated, ", counted, " counted"), true
}

// settle waits until the replicas of each runner have its ledger and nothing of an earlier loss is
// left to do, so that the next loss is the first. What is new meanwhile may be on its way.
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
		if r.table != c.table() || !r.primary.FullyReplicated() || r.replica.PendingEnds() > 0 {
			return false
		}
		if r.statements.Unreplicated() > 0 && !c.broken.keepStatements {
			return false
		}
	}
	return true
}

// interrupt declares a runner lost that goes on, and has it join again.
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
