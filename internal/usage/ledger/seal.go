package ledger

import (
	"cmp"
	"slices"

	"ryepaddle/internal/wallclock"
)

// SealDue reports whether a period has ended that is not sealed. A period without records is sealed
// too, which says that there were none. While maxUnwritten statements cannot be written no more are
// sealed; what is counted goes into a later one.
func (l *Ledger) SealDue(now wallclock.UnixMicro) bool {
	if len(l.unwritten) >= maxUnwritten || l.ended {
		return false
	}
	return l.endOfLastPeriod(now) > l.sealedThrough || l.amendmentDue(now)
}

// amendmentDue reports whether records or corrections are due for a statement that settles no period,
// as the clock is far behind the periods that are sealed: it was wrong then, or is now. One such
// statement is made a period.
func (l *Ledger) amendmentDue(now wallclock.UnixMicro) bool {
	period := l.settings.Period
	clockBehind := period.After(now) < l.sealedThrough
	return len(l.lines)+len(l.corrections) > 0 && clockBehind &&
		(now < l.sealedAt || now >= period.After(l.sealedAt))
}

// endOfLastPeriod returns the end of the last period that can be sealed.
func (l *Ledger) endOfLastPeriod(now wallclock.UnixMicro) wallclock.UnixMicro {
	return l.settings.PeriodStart(now - wallclock.UnixMicro(l.settings.Grace))
}

// Seal settles the periods that have ended, in one statement. It returns nil if none is due.
func (l *Ledger) Seal(now wallclock.UnixMicro) *Statement {
	if !l.SealDue(now) {
		return nil
	}
	s := l.newStatement(max(l.endOfLastPeriod(now), l.sealedThrough), false)
	l.sealedAt = now
	l.dropExpiredKeys(now)
	return s
}

// Finish ends the account with a final statement of all that it holds, also of open periods. It
// returns nil if earlier statements hold everything. Several replicas may finish one account, each
// with the records that it has received.
func (l *Ledger) Finish() *Statement {
	if l.ended {
		return nil
	}
	l.ended = true
	if len(l.lines)+len(l.corrections) == 0 && l.lost == 0 {
		return nil
	}
	to := l.sealedThrough
	for k := range l.lines {
		to = max(to, l.settings.Period.After(k.period))
	}
	return l.newStatement(to, true)
}

// newStatement makes the statement of all lines of periods before an instant.
func (l *Ledger) newStatement(to wallclock.UnixMicro, final bool) *Statement {
	s := &Statement{
		Format:         FormatVersion,
		Instance:       l.settings.Instance,
		Incarnation:    l.incarnation,
		Seq:            l.lastSeq + 1,
		From:           l.sealedThrough,
		To:             to,
		Period:         l.settings.Period,
		Slice:          l.settings.Slice,
		PreviousDigest: l.lastDigest,
		Corrections:    l.corrections,
		Keys:           l.newKeys,
		Lost:           l.lost,
		UnlistedKeys:   l.unlistedKeys,
		Final:          final,
	}
	if final {
		s.Format = finalFormatVersion
		s.Steps = l.steps
	}
	for k, line := range l.lines {
		if k.period < to {
			s.Lines = append(s.Lines, *line)
			delete(l.lines, k)
		}
	}
	slices.SortFunc(s.Lines, compareLines)
	slices.SortFunc(s.Keys, func(a, b CountedKey) int {
		return cmp.Or(cmp.Compare(a.ServedAt, b.ServedAt), cmp.Compare(a.Hash, b.Hash))
	})
	l.lastSeq = s.Seq
	l.lastDigest = s.Digest()
	l.sealedThrough = to
	l.unwritten = append(l.unwritten, s)
	l.newKeys = nil
	l.unlistedKeys = 0
	l.corrections = nil
	l.lost = 0
	return s
}

// NextStatement returns the statement that is to be written now; nil: none. renaming reports that its
// file was about to be renamed when the state was last saved: if the file that it is renamed from is
// gone, the rename is done, and a collector may have taken the renamed file.
func (l *Ledger) NextStatement() (s *Statement, renaming bool) {
	if len(l.unwritten) == 0 {
		return nil, false
	}
	s = l.unwritten[0]
	return s, l.renaming == s.Seq
}

// MarkRenaming notes that the complete file of a statement is about to be renamed; nil: that none is.
// The state with this note has to be on the disk before the file is renamed.
func (l *Ledger) MarkRenaming(s *Statement) {
	l.renaming = 0
	if s != nil {
		l.renaming = s.Seq
	}
}

// MarkExported notes that the file of a statement has its final name.
func (l *Ledger) MarkExported(s *Statement) {
	if len(l.unwritten) > 0 && l.unwritten[0].Seq == s.Seq {
		l.unwritten = l.unwritten[1:]
		l.exported = s.Seq
		l.renaming = 0
	}
}
