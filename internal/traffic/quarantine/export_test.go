package quarantine

// Limits of what a table remembers.
const (
	MaxBegunParts = maxBegunParts
	MaxCrashes    = maxCrashes
)

// Remembered returns how many parts with answers and how many crashes a table holds.
func (t *Table) Remembered() (begun, crashes int) {
	return len(t.evidence.begun) + len(t.evidence.begunBefore), len(t.evidence.crashes)
}
