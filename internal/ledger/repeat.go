package ledger

import "bytes"

// Repeatable reports whether the command names its change, so that a repeat can be
// told and has no effect however much later it is applied. Closures don't: between the
// two, the closure may have been opened again.
func (c Command) Repeatable() bool {
	return c.Edition != nil && c.Edition.Number > 0 || c.Put != nil && c.Put.ChangeID != ""
}

// SameChange reports whether a repeatable command makes the same change as another.
func (c Command) SameChange(other Command) bool {
	switch {
	case c.Edition != nil && other.Edition != nil:
		return c.Edition.Number == other.Edition.Number && bytes.Equal(c.Edition.Source, other.Edition.Source)
	case c.Put != nil && other.Put != nil:
		a, b := *c.Put, *other.Put
		sameNames := a.Section == b.Section && a.Base == b.Base && a.ChangeID == b.ChangeID && a.Team == b.Team
		return sameNames && a.Checked == b.Checked && bytes.Equal(a.Text, b.Text)
	default:
		return false
	}
}

// Repeated returns the result of a repeatable command that is applied again right
// after it had this result.
func (r Result) Repeated() Result {
	switch {
	case r.Edition != nil && r.Edition.Code == EditionAccepted:
		result := *r.Edition
		result.Code = EditionDuplicate
		return Result{Edition: &result}
	case r.Put != nil && (r.Put.Code == PutAccepted || r.Put.Code == PutVersionConflict):
		result := *r.Put
		result.Replayed = true
		return Result{Put: &result}
	default:
		return r
	}
}
