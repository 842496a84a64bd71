package document

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
)

// placesSection returns a places section whose client blocks are spread over
// 120 places.
func placesSection(blocks int) []byte {
	const places = 120
	var text bytes.Buffer
	text.WriteString("[[region]]\nname = \"north\"\n[[domain]]\nname = \"north-a\"\nregion = \"north\"\n")
	for place := range places {
		fmt.Fprintf(&text, "[[place]]\nname = \"place-%d\"\nregion = \"north\"\nblocks = [\n", place)
		for n := place * blocks / places; n < (place+1)*blocks/places; n++ {
			fmt.Fprintf(&text, "\"%d.%d.%d.0/24\",\n", 1+n>>16, n>>8&255, n&255)
		}
		text.WriteString("]\n")
	}
	return text.Bytes()
}

// BenchmarkParse measures how time and memory grow with the number of client
// blocks.
func BenchmarkParse(b *testing.B) {
	for _, blocks := range []int{51_000, 255_000, 510_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			text := placesSection(blocks)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				if _, messages := Parse(Texts{SectionPlaces: {Bytes: text}}); len(messages) > 0 {
					b.Fatal(messages[0].String())
				}
			}
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(len(text))/(1<<20), "MB-text")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N)/(1<<20), "MB-allocated/op")
		})
	}
}
