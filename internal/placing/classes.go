package placing

import "time"

// Run describes a request that is sent to a server.
type Run struct {
	Class   string
	Target  time.Duration // answer time of the class after which an answer loses most of its value
	Partial bool          // its caller still sends its body, so that the server may not be able to answer it
}

// classRuns counts the requests of a class that this entry sent to a server and that have not ended.
type classRuns struct {
	class   string
	target  time.Duration
	count   int
	partial int // of these, requests whose callers still send their bodies
}

func (s *Server) addRun(run Run) {
	var runs *classRuns
	for i := range s.runs {
		if s.runs[i].class == run.Class {
			runs = &s.runs[i]
		}
	}
	if runs == nil {
		s.runs = append(s.runs, classRuns{class: run.Class})
		runs = &s.runs[len(s.runs)-1]
	}
	runs.target = run.Target
	runs.count++
	if run.Partial {
		runs.partial++
	}
}

func (s *Server) removeRun(class string, partial bool) {
	for i := range s.runs {
		runs := &s.runs[i]
		if runs.class != class {
			continue
		}
		if runs.count--; partial {
			runs.partial = max(0, runs.partial-1)
		}
		if runs.count <= 0 {
			// Classes are named after places in a document and may change with it.
			s.runs = append(s.runs[:i], s.runs[i+1:]...)
		}
		return
	}
}

// silenceLimit returns for how long the server may answer nothing while it runs what this entry sent
// to it. Those runs may take much longer than those of the class of the request that needs a server.
func (s *Server) silenceLimit(usual runTimes, req Request) time.Duration {
	longest := time.Duration(0)
	for _, runs := range s.runs {
		if runs.count > runs.partial {
			cold := usualRunTimes(s.classes, runs.class, runs.target).cold
			longest = max(longest, seconds(maxSilentRuns*cold)+runs.target/2)
		}
	}
	if longest == 0 {
		return seconds(maxSilentRuns*usual.cold) + req.Target/2
	}
	return longest
}
