package ledger

import (
	"cmp"
	"slices"

	"ryepaddle/internal/wallclock"
)

// SealDue reports whether a period has ended that is not sealed, or an amendment is due. A period
// without records is sealed too, which shows that there were none. While maxUnwritten statements are
// not written, no further statement is sealed; records are counted for a later one.
func (l *Ledger) SealDue(now wallclock.UnixMicro) bool {
	if len(l.unwritten) >= maxUnwritten || l.ended {
		return false
	}
	return l.endOfLastPeriod(now) > l.sealedThrough || l.amendmentDue(now)
}

// amendmentDue reports whether records or corrections are due for a statement that settles no period.
// That is so while the clock is more than a period behind the sealed periods: it was wrong when they
// were sealed, or is wrong now. At most one such statement is made per period, unless the clock is set
// back again.
func (l *Ledger) amendmentDue(now wallclock.UnixMicro) bool {
	period := l.settings.Period
	clockBehind := period.After(now) < l.sealedThrough
	return len(l.lines)+len(l.corrections) > 0 && clockBehind &&
		(now < l.sealedAt || now >= period.After(l.sealedAt))
}

// endOfLastPeriod returns the end of the last period that can be sealed at now.
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

// Finish ends the account, and returns a final statement of everything that is in no statement yet,
// including open periods; nil if there is nothing, or the account had ended. Several replicas may
// finish the same account, each with the records that it has received.
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

// newStatement seals the periods before the instant to, and returns the statement with their lines.
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

// NextStatement returns the oldest statement that is not known to be written, or nil. renaming reports
// whether MarkRenaming was called for it. If so and the file under the temporary name is gone, the rename
// was done, and a collector may have taken the renamed file.
func (l *Ledger) NextStatement() (s *Statement, renaming bool) {
	if len(l.unwritten) == 0 {
		return nil, false
	}
	s = l.unwritten[0]
	return s, l.renaming == s.Seq
}

// MarkRenaming records that the complete file of a statement is about to be renamed to its final name;
// nil records that none is. The state must be saved to the disk before the file is renamed.
func (l *Ledger) MarkRenaming(s *Statement) {
	l.renaming = 0
	if s != nil {
		l.renaming = s.Seq
	}
}

// MarkExported records that the file of a statement has its final name.
func (l *Ledger) MarkExported(s *Statement) {
	if len(l.unwritten) > 0 && l.unwritten[0].Seq == s.Seq {
		l.unwritten = l.unwritten[1:]
		l.exported = s.Seq
		l.renaming = 0
	}
}
