package callerhttp

import "github.com/heatherwood/heatherwood/internal/reducer"

// fewEntries is the number of entries below which a list is filled up from
// farther away, so that a caller has another one to try.
const fewEntries = 2

// Near lists entries for callers of a failure domain: its own, those of its
// region where it has few, and those of other regions where the region has few.
func Near(view *reducer.View, region, domain string, most int) []string {
	if view == nil || !view.Ready {
		return nil
	}
	var own, near, far []string
	for _, d := range view.Domains {
		switch {
		case !d.Alive:
		case d.Name == domain:
			own = append(own, d.Entries...)
		case d.Region == region:
			near = append(near, d.Entries...)
		default:
			far = append(far, d.Entries...)
		}
	}
	entries := own
	for _, others := range [][]string{near, far} {
		if len(entries) < fewEntries {
			entries = append(entries, others...)
		}
	}
	return entries[:min(most, len(entries))]
}
